package io.knapweedferry.entry.operator

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.knapweedferry.api.StreamName
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.log.AppendLog
import io.knapweedferry.platform.log.LogPage
import io.knapweedferry.platform.log.LogRecord
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.updateAndGet
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicInteger

/** In-memory log shared by several entries, with fault injection. */
internal class SharedLog : AppendLog {
    private val all = MutableStateFlow(listOf<LogRecord>())

    /** Number of next appends that take effect but whose responses are lost. */
    val lostResponses = AtomicInteger()

    /** Number of next appends that are lost before they take effect; their result is [PlatformError.NoResponse] too. */
    val lostAppends = AtomicInteger()

    /** While set, no call returns. */
    @Volatile var silent = false

    val size: Int get() = all.value.size

    override suspend fun append(
        stream: StreamName,
        payloads: List<String>,
    ): Either<PlatformError, Long> {
        if (silent) awaitCancellation()
        if (lostAppends.getAndUpdate { (it - 1).coerceAtLeast(0) } > 0) return PlatformError.NoResponse("lost").left()
        val records = all.updateAndGet { old -> old + payloads.mapIndexed { i, text -> LogRecord(old.size.toLong() + i, 0, text) } }
        if (lostResponses.getAndUpdate { (it - 1).coerceAtLeast(0) } > 0) return PlatformError.NoResponse("lost").left()
        return (records.size.toLong() - payloads.size).right()
    }

    override suspend fun read(
        stream: StreamName,
        fromOffset: Long,
        maxRecords: Int,
        waitMs: Long,
    ): Either<PlatformError, LogPage> {
        if (silent) awaitCancellation()
        withTimeoutOrNull(waitMs) { all.first { it.size > fromOffset } }
        val records = all.value
        return LogPage(0, records.size.toLong(), 0, records.drop(fromOffset.toInt()).take(maxRecords)).right()
    }
}
