package io.knapweedferry.testing.standin.log

import kotlinx.serialization.Serializable

/** What the log did so far. */
@Serializable
internal data class LogLedger(
    val appends: Long,
    val refusedAppends: Long,
    val lostAnswers: Long,
    /** Next offset by stream. */
    val streams: Map<String, Long>,
)
