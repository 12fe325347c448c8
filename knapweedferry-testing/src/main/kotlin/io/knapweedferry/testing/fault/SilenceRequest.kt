package io.knapweedferry.testing.fault

import kotlinx.serialization.Serializable

/**
 * Body of `POST /admin/routes/{route}/silence`, which simulates a network black hole. A silent connection accepts bytes but
 * forwards neither the bytes nor the end of the stream. It never recovers, since TCP does not allow gaps in a stream.
 */
@Serializable
internal data class SilenceRequest(
    val direction: Direction = Direction.BOTH,
    val existing: Boolean = true,
    /** Share of the open connections to silence, from 0 to 1; chosen at random. */
    val fraction: Double = 1.0,
    /** Whether to silence new connections, too, until the route is healed. */
    val new: Boolean = false,
)
