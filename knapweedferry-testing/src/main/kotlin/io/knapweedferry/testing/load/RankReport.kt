package io.knapweedferry.testing.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Results of one rank in a run. */
@Serializable
public data class RankReport(
    val rank: String,
    val offered: Int,
    val completed: Int,
    /** Number of complete answers within both targets. */
    @SerialName("in_target")
    val inTarget: Int,
    /** [inTarget] per second of the run. */
    @SerialName("goodput_per_second")
    val goodputPerSecond: Double,
    val refusals: Map<String, Int>,
    val failures: Map<String, Int>,
    @SerialName("first_token")
    val firstToken: Percentiles,
    @SerialName("inter_token")
    val interToken: Percentiles,
    /** Share of the requests arriving outside floods that were answered within both targets; null if none arrived. */
    @SerialName("in_target_share_outside_flood")
    val shareOutsideFlood: Double?,
    /** Share of the requests arriving during floods that were answered within both targets; null if none arrived. */
    @SerialName("in_target_share_during_flood")
    val shareDuringFlood: Double?,
    /** Share of this rank in the answers within both targets of all requests arriving during floods; null if there are none. */
    @SerialName("share_of_goodput_during_flood")
    val shareOfGoodputDuringFlood: Double?,
    /** Upper bound on [inTarget] if the fleet served only this rank. */
    @SerialName("in_target_bound_alone")
    val boundAlone: Double,
)
