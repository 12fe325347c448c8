package io.knapweedferry.config.state

import kotlinx.serialization.Serializable

/** Latency targets, deadline and guaranteed capacity of a rank. */
@Serializable
public data class RankPolicy(
    val firstTokenTargetMs: Long,
    val interTokenTargetMs: Long,
    /** Deadline of requests that do not specify one. */
    val deadlineMs: Long,
    /** Percentage of capacity that is reserved for the rank while requests of higher ranks are queued. */
    val floorPercent: Int,
)
