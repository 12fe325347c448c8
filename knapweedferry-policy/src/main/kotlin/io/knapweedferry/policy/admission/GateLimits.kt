package io.knapweedferry.policy.admission

/** Capacity of one endpoint. */
public data class GateLimits(
    val slots: Int,
    val pieces: Int,
    /** Waiting tickets at most, over all ranks. */
    val queueLimit: Int,
)
