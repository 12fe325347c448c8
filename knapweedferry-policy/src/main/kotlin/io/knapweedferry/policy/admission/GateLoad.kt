package io.knapweedferry.policy.admission

/** Load of one endpoint as its gate sees it. */
public data class GateLoad(
    val freeSlots: Int,
    val freePieces: Int,
    val queuedUrgent: Int,
    val queuedStandard: Int,
    val queuedBackground: Int,
    /** Time that a new standard request would wait. */
    val waitMs: Int,
    val interTokenMs: Int,
)
