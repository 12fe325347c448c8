package io.knapweedferry.telemetry

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.knapweedferry.api.StreamName
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.log.AppendLog
import io.knapweedferry.platform.log.LogPage
import io.knapweedferry.platform.log.LogRecord

/** In-memory log whose next appends can fail before or after taking effect. */
internal class FakeLog : AppendLog {
    val records = ArrayList<LogRecord>()
    val failures = ArrayDeque<PlatformError>()
    var firstOffset = 0L
    var readRecordCount = 0

    override suspend fun append(
        stream: StreamName,
        payloads: List<String>,
    ): Either<PlatformError, Long> {
        val failure = failures.removeFirstOrNull()
        if (failure != null && failure !is PlatformError.NoResponse) return failure.left()
        val first = records.size.toLong()
        payloads.forEachIndexed { index, payload -> records += LogRecord(first + index, 0, payload) }
        return failure?.left() ?: first.right()
    }

    override suspend fun read(
        stream: StreamName,
        fromOffset: Long,
        maxRecords: Int,
        waitMs: Long,
    ): Either<PlatformError, LogPage> {
        // Small pages, so that readers have to read repeatedly.
        val page = records.filter { it.offset >= maxOf(fromOffset, firstOffset) }.take(minOf(maxRecords, MAX_PAGE_RECORDS))
        readRecordCount += page.size
        return LogPage(firstOffset, records.size.toLong(), 0, page).right()
    }

    private companion object {
        const val MAX_PAGE_RECORDS = 7
    }
}
