package io.knapweedferry.routing.fleet

/** Proof that this instance held the stage lease when it announced an order. */
public data class StageLeaseGrant(
    /** Id of the holder, sent with its orders. */
    val holder: String,
    /** Fencing token of the orders. */
    val fencingToken: Long,
    /** False once the grant has expired; checked right before the order is written, because the process may have been paused. */
    val isValid: () -> Boolean,
)
