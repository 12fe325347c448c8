package io.knapweedferry.routing.fleet

/** Right to give orders to engines, held by one instance of the fleet. */
public data class StageDuty(
    /** Names the holder in its orders. */
    val holder: String,
    /** Fencing number of the orders. */
    val fence: Long,
)
