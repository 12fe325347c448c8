package io.knapweedferry.testing.standin.log

import io.knapweedferry.platform.log.LogPage
import io.knapweedferry.platform.log.LogRecord
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull

/** Records of one log stream; records older than the retention time are removed. */
internal class RecordStream(
    private val retentionMs: Long,
    private val nowMs: () -> Long,
) {
    private val lock = Any()
    private val records = ArrayDeque<LogRecord>()
    private val nextOffsetFlow = MutableStateFlow(0L)

    val nextOffset: Long get() = nextOffsetFlow.value

    fun append(payloads: List<String>): Long =
        synchronized(lock) {
            val first = nextOffsetFlow.value
            val atMs = nowMs()
            expire(atMs)
            payloads.forEachIndexed { index, payload -> records += LogRecord(first + index, atMs, payload) }
            nextOffsetFlow.value = first + payloads.size
            first
        }

    suspend fun read(
        fromOffset: Long,
        maxRecords: Int,
        waitMs: Long,
    ): LogPage {
        if (waitMs > 0) withTimeoutOrNull(waitMs) { nextOffsetFlow.first { it > fromOffset } }
        return page(fromOffset, maxRecords)
    }

    private fun page(
        fromOffset: Long,
        maxRecords: Int,
    ): LogPage =
        synchronized(lock) {
            val now = nowMs()
            expire(now)
            val firstOffset = records.firstOrNull()?.offset ?: nextOffsetFlow.value
            val skip = (fromOffset - firstOffset).coerceIn(0L, records.size.toLong()).toInt()
            val count = maxRecords.coerceIn(0, records.size - skip)
            LogPage(firstOffset, nextOffsetFlow.value, now, records.subList(skip, skip + count).toList())
        }

    private fun expire(now: Long) {
        while (records.isNotEmpty() && records.first().atMs < now - retentionMs) records.removeFirst()
    }
}
