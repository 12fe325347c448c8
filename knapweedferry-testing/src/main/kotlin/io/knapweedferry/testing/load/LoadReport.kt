package io.knapweedferry.testing.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Aggregated results of a run. */
@Serializable
public data class LoadReport(
    val scenario: String,
    val seed: Long,
    @SerialName("duration_ms")
    val durationMs: Long,
    val offered: Int,
    @SerialName("in_target")
    val inTarget: Int,
    /** Upper bound on [inTarget] for any router, from the arrivals and the stated capacity. */
    @SerialName("in_target_bound")
    val bound: Double,
    /** Longest delay between the planned arrival of a request and its start; a large value means that the driver was overloaded. */
    @SerialName("driver_lag_max_ms")
    val driverLagMaxMs: Double,
    val ranks: List<RankReport>,
) {
    /** Returns the report as one line of JSON. */
    public fun toJson(): String = Json.encodeToString(serializer(), this)
}
