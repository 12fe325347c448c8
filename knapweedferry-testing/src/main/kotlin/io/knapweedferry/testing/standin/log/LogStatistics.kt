package io.knapweedferry.testing.standin.log

import kotlinx.serialization.Serializable

/** Counters of the log since its start. */
@Serializable
internal data class LogStatistics(
    val appends: Long,
    val refusedAppends: Long,
    val lostAnswers: Long,
    /** Next offset of each stream. */
    val streams: Map<String, Long>,
)
