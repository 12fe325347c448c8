package io.knapweedferry.policy.admission

/** Load of one endpoint, as reported by its gate. */
public data class GateLoad(
    val freeSlots: Int,
    val freeKvBlocks: Int,
    val queuedUrgent: Int,
    val queuedStandard: Int,
    val queuedBackground: Int,
    /** Estimated queueing time of a new request of rank standard. */
    val waitMs: Int,
    val interTokenMs: Int,
)
