package io.knapweedferry.platform.log

import kotlinx.serialization.Serializable

/** A record of a log stream. */
@Serializable
public data class LogRecord(
    val offset: Long,
    /** Time of the append, on the clock of the log. */
    val atMs: Long,
    val payload: String,
)
