package io.knapweedferry.testing.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Measured service of one rank. */
@Serializable
public data class RankReport(
    val rank: String,
    val offered: Int,
    val completed: Int,
    /** Whole answers inside both targets. */
    @SerialName("in_target")
    val inTarget: Int,
    /** [inTarget] for each second of the run. */
    @SerialName("goodput_per_second")
    val goodputPerSecond: Double,
    val refusals: Map<String, Int>,
    val failures: Map<String, Int>,
    @SerialName("first_token")
    val firstToken: Percentiles,
    @SerialName("inter_token")
    val interToken: Percentiles,
    /** Share of the requests that arrived outside floods and were answered inside both targets. */
    @SerialName("in_target_share_outside_flood")
    val shareOutsideFlood: Double?,
    /** The same for requests that arrived during a flood. */
    @SerialName("in_target_share_during_flood")
    val shareDuringFlood: Double?,
    /** Share of all answers inside both targets during floods that went to this rank. */
    @SerialName("share_of_goodput_during_flood")
    val shareOfGoodputDuringFlood: Double?,
    /** Upper bound on [inTarget] if the fleet served nothing but this rank. */
    @SerialName("in_target_bound_alone")
    val boundAlone: Double,
)
