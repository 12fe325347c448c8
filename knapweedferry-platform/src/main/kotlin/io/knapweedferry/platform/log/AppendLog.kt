package io.knapweedferry.platform.log

import arrow.core.Either
import io.knapweedferry.api.StreamName
import io.knapweedferry.platform.PlatformError

/** The platform's append-only log: a total order per stream, slow, with outages and limited retention. */
public interface AppendLog {
    /** Appends [payloads] with consecutive offsets and returns the first. The answer may be lost after the append took effect. */
    public suspend fun append(
        stream: StreamName,
        payloads: List<String>,
    ): Either<PlatformError, Long>

    /** Reads from [fromOffset] on, waiting up to [waitMs] for the first record. */
    public suspend fun read(
        stream: StreamName,
        fromOffset: Long,
        maxRecords: Int = DEFAULT_MAX_RECORDS,
        waitMs: Long = 0,
    ): Either<PlatformError, LogPage>

    public companion object {
        /** Records per read when the caller does not say otherwise. */
        public const val DEFAULT_MAX_RECORDS: Int = 500
    }
}
