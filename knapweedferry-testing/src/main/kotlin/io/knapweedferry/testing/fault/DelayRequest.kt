package io.knapweedferry.testing.fault

import kotlinx.serialization.Serializable

/** Body of `POST /admin/routes/{route}/delay`. Applies to open and new connections; bytes stay in order. */
@Serializable
internal data class DelayRequest(
    val ms: Long,
    /** Upper limit of a uniformly distributed delay that is added to [ms] for each chunk. */
    val jitterMs: Long = 0,
    val direction: Direction = Direction.BOTH,
)
