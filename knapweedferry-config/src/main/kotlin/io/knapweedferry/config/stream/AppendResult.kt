package io.knapweedferry.config.stream

import io.knapweedferry.platform.PlatformError

/** What is known about an append after lost answers were resolved. */
public sealed interface AppendResult {
    /** The record is in the stream at [offset]. */
    public data class Appended(
        val offset: Long,
    ) : AppendResult

    /** The record is not in the stream. */
    public data class NotAppended(
        val error: PlatformError,
    ) : AppendResult

    /** The record may be in the stream, or may still get there. */
    public data class Uncertain(
        val error: PlatformError,
    ) : AppendResult
}
