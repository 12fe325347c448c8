package io.knapweedferry.platform.log

import kotlinx.serialization.Serializable

/** Result of one read of a stream. */
@Serializable
public data class LogPage(
    /** Oldest offset that the log still keeps. */
    val firstOffset: Long,
    /** Offset that the next append will get. */
    val nextOffset: Long,
    /** Time on the clock of the log. */
    val nowMs: Long,
    val records: List<LogRecord>,
)
