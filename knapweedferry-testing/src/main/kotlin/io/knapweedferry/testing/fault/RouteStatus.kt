package io.knapweedferry.testing.fault

import kotlinx.serialization.Serializable

/** State, counters and active faults of one route. */
@Serializable
internal data class RouteStatus(
    val name: String,
    val port: Int,
    val listening: Boolean,
    val connections: Int,
    val silentConnections: Int,
    val acceptedConnections: Long,
    val deliveredBytes: Long,
    val discardedBytes: Long,
    val delay: DelayRequest?,
    /** Direction in which new connections are silent; null if they are not. */
    val newSilence: Direction?,
)
