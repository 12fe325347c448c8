package io.knapweedferry.platform.log

import arrow.core.Either
import io.knapweedferry.api.StreamName
import io.knapweedferry.platform.PlatformError

/**
 * The platform's append-only log. Each stream is totally ordered. Callers must expect high latency, outages and the removal of
 * old records by retention.
 */
public interface AppendLog {
    /**
     * Appends [payloads] at consecutive offsets and returns the first offset. After [PlatformError.NoResponse] the append may
     * have taken effect.
     */
    public suspend fun append(
        stream: StreamName,
        payloads: List<String>,
    ): Either<PlatformError, Long>

    /** Reads up to [maxRecords] starting at [fromOffset], waiting up to [waitMs] for the first record. */
    public suspend fun read(
        stream: StreamName,
        fromOffset: Long,
        maxRecords: Int = DEFAULT_MAX_RECORDS,
        waitMs: Long = 0,
    ): Either<PlatformError, LogPage>

    public companion object {
        /** Default limit of records per read. */
        public const val DEFAULT_MAX_RECORDS: Int = 500
    }
}
