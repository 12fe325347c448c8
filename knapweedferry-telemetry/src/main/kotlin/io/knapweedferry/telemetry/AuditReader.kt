package io.knapweedferry.telemetry

import arrow.core.Either
import arrow.core.raise.either
import io.knapweedferry.api.RequestId
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.log.AppendLog
import io.knapweedferry.platform.log.LogPage
import io.knapweedferry.platform.log.LogRecord

/** Finds the audit records of a request by scanning the `audit` stream backwards from the newest batch. */
public class AuditReader(
    private val log: AppendLog,
) {
    /**
     * Scans at most [maxBatches] batches backwards, starting at the newest one or, if [untilMs] is set, at the last one
     * appended by that time on the clock of the log. The scan does not stop at the first match, because several processes may
     * have records of the request. Choose [untilMs] a few minutes after the request, because batches and drop reports are
     * appended with a delay.
     */
    public suspend fun find(
        requestId: RequestId,
        maxBatches: Int = DEFAULT_MAX_BATCHES,
        untilMs: Long? = null,
    ): Either<PlatformError, AuditSearchResult> =
        either {
            val bounds = log.read(AuditTrail.STREAM, 0, 1).bind()
            var end = if (untilMs == null) bounds.nextOffset else firstOffsetAfter(untilMs, bounds).bind()
            val oldest = maxOf(bounds.firstOffset, end - maxBatches)
            val scan = AuditStreamScan(requestId)
            while (end > oldest) {
                val start = maxOf(oldest, end - WINDOW_BATCHES)
                readWindow(start, end).bind().asReversed().forEach { scan.add(it) }
                end = start
            }
            scan.result(reachedOldest = oldest == bounds.firstOffset)
        }

    /** Binary search for the first offset that was appended after [untilMs]. */
    private suspend fun firstOffsetAfter(
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

    /** Reads [start] until [end] (exclusive). A read may return fewer records than asked for, and retention may have removed some. */
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
        /** Covers 25 s of the largest deployment, at 200 batches per second, and hours of a small one. */
        public const val DEFAULT_MAX_BATCHES: Int = 5_000

        // Batches are at most 64 KB, so a window takes less than 7 MB of memory.
        private const val WINDOW_BATCHES = 100L
    }
}
