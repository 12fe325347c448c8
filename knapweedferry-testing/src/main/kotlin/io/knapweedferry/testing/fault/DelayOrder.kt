package io.knapweedferry.testing.fault

import kotlinx.serialization.Serializable

/** Body of `POST /admin/routes/{route}/delay`; covers open and new connections and keeps the order of bytes. */
@Serializable
internal data class DelayOrder(
    val ms: Long,
    /** Random part added to [ms], drawn for each chunk. */
    val jitterMs: Long = 0,
    val direction: Direction = Direction.BOTH,
)
