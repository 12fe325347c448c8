package io.knapweedferry.testing.fault

import kotlinx.serialization.Serializable

/** State of one route. */
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
    val delay: DelayOrder?,
    val newSilence: Direction?,
)
