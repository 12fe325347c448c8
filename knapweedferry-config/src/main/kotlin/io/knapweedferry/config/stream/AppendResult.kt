package io.knapweedferry.config.stream

import io.knapweedferry.platform.PlatformError

/** Outcome of an append, after looking up the record in the stream if the log did not confirm the append. */
public sealed interface AppendResult {
    /** The record is in the stream at [offset]. */
    public data class Appended(
        val offset: Long,
    ) : AppendResult

    /** The record is not in the stream. */
    public data class NotAppended(
        val error: PlatformError,
    ) : AppendResult

    /** The record may be in the stream already or may still be appended later. */
    public data class Uncertain(
        val error: PlatformError,
    ) : AppendResult
}
