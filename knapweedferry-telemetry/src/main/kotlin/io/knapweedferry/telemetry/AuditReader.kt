package io.knapweedferry.telemetry

import arrow.core.Either
import arrow.core.raise.either
import io.knapweedferry.api.RequestId
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.log.AppendLog
import io.knapweedferry.platform.log.LogPage
import io.knapweedferry.platform.log.LogRecord

/** Finds the audit records of a request by reading the stream `audit` from the newest batch back. */
public class AuditReader(
    private val log: AppendLog,
) {
    /**
     * Reads at most [maxBatches] batches, from the newest back, or from the last one that was appended by [untilMs] on the
     * clock of the log. All of them are read, because several processes may know the request. Choose [untilMs] some minutes
     * after the request, because batches and reports of drops follow later.
     */
    public suspend fun find(
        requestId: RequestId,
        maxBatches: Int = DEFAULT_MAX_BATCHES,
        untilMs: Long? = null,
    ): Either<PlatformError, AuditFindings> =
        either {
            val bounds = log.read(AuditTrail.STREAM, 0, 1).bind()
            var end = if (untilMs == null) bounds.nextOffset else endAt(untilMs, bounds).bind()
            val oldest = maxOf(bounds.firstOffset, end - maxBatches)
            val scan = AuditScan(requestId)
            while (end > oldest) {
                val start = maxOf(oldest, end - WINDOW_BATCHES)
                readWindow(start, end).bind().asReversed().forEach { scan.add(it) }
                end = start
            }
            scan.findings(reachedOldest = oldest == bounds.firstOffset)
        }

    /** First offset that was appended after [untilMs], by binary search. */
    private suspend fun endAt(
        untilMs: Long,
        bounds: LogPage,
    ): Either<PlatformError, Long> =
        either {
            var low = bounds.firstOffset
            var high = bounds.nextOffset
            while (low < high) {
                val middle = low + (high - low) / 2
                val record =
                    log
                        .read(AuditTrail.STREAM, middle, 1)
                        .bind()
                        .records
                        .firstOrNull()
                if (record != null && record.atMs > untilMs) high = middle else low = middle + 1
            }
            low
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
