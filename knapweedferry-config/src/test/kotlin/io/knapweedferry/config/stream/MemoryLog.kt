package io.knapweedferry.config.stream

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.knapweedferry.api.StreamName
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.log.AppendLog
import io.knapweedferry.platform.log.LogPage
import io.knapweedferry.platform.log.LogRecord
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull

/** In-memory log with fault injection. */
internal class MemoryLog(
    private val nowMs: () -> Long = { 0 },
) : AppendLog {
    private val appended = MutableStateFlow(listOf<LogRecord>())
    private var firstOffset = 0L

    /** While true, every call fails with [PlatformError.NoResponse]. */
    var down = false

    val records: List<LogRecord> get() = appended.value.filter { it.offset >= firstOffset }

    override suspend fun append(
        stream: StreamName,
        payloads: List<String>,
    ): Either<PlatformError, Long> {
        if (down) return PlatformError.NoResponse("the log is down").left()
        return payloads.map { add(it) }.first().right()
    }

    override suspend fun read(
        stream: StreamName,
        fromOffset: Long,
        maxRecords: Int,
        waitMs: Long,
    ): Either<PlatformError, LogPage> {
        if (down) return PlatformError.NoResponse("the log is down").left()
        withTimeoutOrNull(waitMs) { appended.first { it.size > fromOffset } }
        if (down) return PlatformError.NoResponse("the log is down").left()
        return LogPage(
            firstOffset,
            appended.value.size.toLong(),
            nowMs(),
            records.filter { it.offset >= fromOffset }.take(maxRecords),
        ).right()
    }

    fun add(record: ConfigRecord): Long = add(RecordCodec.encode(record))

    fun add(payload: String): Long {
        val offset = appended.value.size.toLong()
        appended.value += LogRecord(offset, nowMs(), payload)
        return offset
    }

    /** Removes all records and restarts offsets at 0, like a log that was recreated after data loss. */
    fun loseAllRecords() {
        appended.value = emptyList()
    }

    fun removeBefore(offset: Long) {
        firstOffset = offset
    }
}
