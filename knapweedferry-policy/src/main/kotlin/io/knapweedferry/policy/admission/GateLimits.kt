package io.knapweedferry.policy.admission

/** Capacity limits of one endpoint. [kvBlocks] is the number of KV cache blocks of the engine. */
public data class GateLimits(
    val slots: Int,
    val kvBlocks: Int,
    /** Maximum number of queued tickets, over all ranks. */
    val queueLimit: Int,
)
