package io.knapweedferry.testing.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Result of a run. */
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
    /** Latest start of a request after its planned arrival; a large value means that the driver itself was too slow. */
    @SerialName("driver_lag_max_ms")
    val driverLagMaxMs: Double,
    val ranks: List<RankReport>,
) {
    /** Returns the report as one line of JSON. */
    public fun toJson(): String = Json.encodeToString(serializer(), this)
}
