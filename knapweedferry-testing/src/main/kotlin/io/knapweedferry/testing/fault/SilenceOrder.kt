package io.knapweedferry.testing.fault

import kotlinx.serialization.Serializable

/**
 * Body of `POST /admin/routes/{route}/silence`. A silent connection accepts bytes and delivers neither them nor its end,
 * and never recovers: bytes after a gap would not be a TCP stream.
 */
@Serializable
internal data class SilenceOrder(
    val direction: Direction = Direction.BOTH,
    val existing: Boolean = true,
    /** Part of the open connections, chosen at random. */
    val fraction: Double = 1.0,
    /** Also silences connections opened before the route is healed. */
    val new: Boolean = false,
)
