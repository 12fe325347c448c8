package io.knapweedferry.config.state

import kotlinx.serialization.Serializable

/** Targets and rights of one rank. */
@Serializable
public data class RankPolicy(
    val firstTokenTargetMs: Long,
    val interTokenTargetMs: Long,
    /** Time after which a request is given up when the caller names none. */
    val deadlineMs: Long,
    /** Share of capacity, in percent, that the rank keeps while more urgent work waits. */
    val floorPercent: Int,
)
