package io.knapweedferry.telemetry

import arrow.core.Either
import arrow.core.raise.either
import io.knapweedferry.api.RequestId
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.log.AppendLog
import io.knapweedferry.platform.log.LogRecord

/** Finds the audit records of a request by reading the stream `audit` from the newest batch back. */
public class AuditReader(
    private val log: AppendLog,
) {
    /** Reads at most [maxBatches] of the newest batches. All are read, because several processes may know the request. */
    public suspend fun find(
        requestId: RequestId,
        maxBatches: Int = DEFAULT_MAX_BATCHES,
    ): Either<PlatformError, AuditFindings> =
        either {
            val bounds = log.read(AuditTrail.STREAM, 0, 1).bind()
            val oldest = maxOf(bounds.firstOffset, bounds.nextOffset - maxBatches)
            val scan = AuditScan(requestId)
            var end = bounds.nextOffset
            while (end > oldest) {
                val start = maxOf(oldest, end - WINDOW_BATCHES)
                readWindow(start, end).bind().asReversed().forEach { scan.add(it) }
                end = start
            }
            scan.findings(reachedOldest = oldest == bounds.firstOffset)
        }

    /** Records from [start] up to [end]; the log may answer with less per read, or no longer keep some. */
    private suspend fun readWindow(
        start: Long,
        end: Long,
    ): Either<PlatformError, List<LogRecord>> =
        either {
            val found = mutableListOf<LogRecord>()
            var next = start
            while (next < end) {
                val page = log.read(AuditTrail.STREAM, next, (end - next).toInt()).bind()
                if (page.records.isEmpty()) break
                found += page.records.filter { it.offset < end }
                next = page.records.last().offset + 1
            }
            found
        }

    public companion object {
        /** At 200 batches a second this covers 25 s of the largest deployment, and hours of a small one. */
        public const val DEFAULT_MAX_BATCHES: Int = 5_000

        // At most 64 KB each, so a window stays below 7 MB.
        private const val WINDOW_BATCHES = 100L
    }
}
