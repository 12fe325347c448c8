package io.knapweedferry.config.stream

import arrow.core.Either
import arrow.core.raise.either
import io.knapweedferry.api.StreamName
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.log.AppendLog
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Appends records to the `config` stream. If the response to an append is lost, it searches the stream for the record id and
 * appends again only if the record is missing. The first append may still take effect later, so duplicates are possible:
 * [ConfigReplayer] rejects a repeated confirmation and ignores a repeated step report, and a plan that is proposed twice
 * is merely listed twice.
 */
public class RecordAppender(
    private val log: AppendLog,
    private val stream: StreamName = StreamName("config"),
    private val retryDelayMs: Long = 100,
) {
    /** Appends [record] within [timeoutMs]. [searchFromOffset] must not be higher than any offset that the record can get. */
    public suspend fun append(
        record: ConfigRecord,
        searchFromOffset: Long,
        timeoutMs: Long,
    ): AppendResult {
        val operation = AppendOperation(record, searchFromOffset)
        withTimeoutOrNull(timeoutMs) {
            while (operation.tryOnce()) Unit
        }
        return operation.result
    }

    private inner class AppendOperation(
        private val record: ConfigRecord,
        private val searchFromOffset: Long,
    ) {
        private val payload = listOf(RecordCodec.encode(record))
        private var maybeAppended = false
        private var offset: Long? = null
        private var error: PlatformError = PlatformError.NoResponse("the log did not respond in time; check that it is up")

        val result: AppendResult
            get() {
                offset?.let { return AppendResult.Appended(it) }
                return if (maybeAppended) AppendResult.Uncertain(error) else AppendResult.NotAppended(error)
            }

        /** Makes one attempt; returns true if another one is needed. */
        suspend fun tryOnce(): Boolean {
            val maybeAppendedBefore = maybeAppended
            // Set during the call, because the timeout may cancel it after the request was sent.
            maybeAppended = true
            error = log.append(stream, payload).fold({ it }, { return storeOffset(it) })
            maybeAppended = maybeAppendedBefore || mayHaveTakenEffect(error)
            if (!maybeAppended) return false
            return storeOffset(findRetrying(record.recordId, searchFromOffset))
        }

        /** Stores the offset of the appended record; returns true if it is null and another attempt is needed. */
        private fun storeOffset(recordOffset: Long?): Boolean {
            offset = recordOffset
            return recordOffset == null
        }
    }

    /** Repeats the search until the log responds. */
    private suspend fun findRetrying(
        recordId: RecordId,
        fromOffset: Long,
    ): Long? {
        while (true) {
            delay(retryDelayMs)
            find(recordId, fromOffset).onRight { return it }
        }
    }

    /** Returns the offset of the record with [recordId], or null if the stream does not contain it. */
    private suspend fun find(
        recordId: RecordId,
        fromOffset: Long,
    ): Either<PlatformError, Long?> =
        either {
            var next: Long? = fromOffset
            var found: Long? = null
            while (next != null && found == null) {
                val records = log.read(stream, next, PAGE_RECORDS).bind().records
                found = records.firstOrNull { RecordCodec.decode(it.payload).getOrNull()?.recordId == recordId }?.offset
                next = records.lastOrNull()?.let { it.offset + 1 }
            }
            found
        }

    private fun mayHaveTakenEffect(error: PlatformError): Boolean =
        error is PlatformError.NoResponse || error is PlatformError.InvalidResponse

    private companion object {
        const val PAGE_RECORDS = 32
    }
}
