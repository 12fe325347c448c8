package io.knapweedferry.config.stream

import arrow.core.Either
import arrow.core.raise.either
import io.knapweedferry.api.StreamName
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.log.AppendLog
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Appends records to the `config` stream. If the answer to an append is lost, it reads the stream for the record's id and
 * appends again only if it is not there. The first append may still arrive later; the fold ignores the second of two
 * equal confirmations and step reports, and a plan that is proposed twice is only listed twice.
 */
public class RecordAppender(
    private val log: AppendLog,
    private val stream: StreamName = StreamName("config"),
    private val retryDelayMs: Long = 100,
) {
    /** Appends [record] within [timeoutMs]. [endOffset] is an offset that the stream had not passed when the record was made. */
    public suspend fun append(
        record: ConfigRecord,
        endOffset: Long,
        timeoutMs: Long,
    ): AppendResult {
        val attempts = Attempts(record, endOffset)
        withTimeoutOrNull(timeoutMs) {
            while (attempts.goOn()) Unit
        }
        return attempts.result
    }

    private inner class Attempts(
        private val record: ConfigRecord,
        private val endOffset: Long,
    ) {
        private val payload = listOf(RecordCodec.encode(record))
        private var sent = false
        private var offset: Long? = null
        private var error: PlatformError = PlatformError.NoAnswer("the log did not answer in time; check that it is up")

        val result: AppendResult
            get() {
                offset?.let { return AppendResult.Appended(it) }
                return if (sent) AppendResult.Uncertain(error) else AppendResult.NotAppended(error)
            }

        /** Tries once; false if a further attempt would not help. */
        suspend fun goOn(): Boolean {
            val sentBefore = sent
            // Holds while the call runs, because it may be cut off by the timeout.
            sent = true
            error = log.append(stream, payload).fold({ it }, { return found(it) })
            sent = sentBefore || mayHaveTakenEffect(error)
            if (!sent) return false
            return found(findOnceAnswered(record.recordId, endOffset))
        }

        private fun found(at: Long?): Boolean {
            offset = at
            return at == null
        }
    }

    private suspend fun findOnceAnswered(
        recordId: RecordId,
        fromOffset: Long,
    ): Long? {
        while (true) {
            delay(retryDelayMs)
            find(recordId, fromOffset).onRight { return it }
        }
    }

    /** Offset of the record with [recordId], or null if the stream does not hold it now. */
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

    private fun mayHaveTakenEffect(error: PlatformError): Boolean = error is PlatformError.NoAnswer || error is PlatformError.BadAnswer

    private companion object {
        const val PAGE_RECORDS = 32
    }
}
