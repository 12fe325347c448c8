package io.knapweedferry.policy.admission

/** Capacity limits of one endpoint. [pieces] counts fixed-size blocks of the engine's KV cache memory. */
public data class GateLimits(
    val slots: Int,
    val pieces: Int,
    /** Maximum number of queued tickets, over all ranks. */
    val queueLimit: Int,
)
