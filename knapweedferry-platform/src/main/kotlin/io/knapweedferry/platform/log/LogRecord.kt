package io.knapweedferry.platform.log

/** One record of a stream. */
public data class LogRecord(
    val offset: Long,
    /** Time of the append on the clock of the log. */
    val atMs: Long,
    val payload: String,
)
