package io.knapweedferry.platform.log

import kotlinx.serialization.Serializable

/** Result of reading a log stream. */
@Serializable
public data class LogPage(
    /** Oldest offset that the log retains. */
    val firstOffset: Long,
    /** Offset of the next append. */
    val nextOffset: Long,
    /** Time of the read, on the clock of the log. */
    val nowMs: Long,
    val records: List<LogRecord>,
)
