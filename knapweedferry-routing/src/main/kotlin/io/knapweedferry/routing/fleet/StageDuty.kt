package io.knapweedferry.routing.fleet

/** Proof that this instance is the one that may send stage orders to engines. */
public data class StageDuty(
    /** Id of the holder, sent with its orders. */
    val holder: String,
    /** Fencing token of the orders. */
    val fence: Long,
)
