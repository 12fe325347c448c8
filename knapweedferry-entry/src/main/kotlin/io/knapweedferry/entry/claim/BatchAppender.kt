package io.knapweedferry.entry.claim

import arrow.core.Either
import io.knapweedferry.api.StreamName
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.log.AppendLog
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

/** Batches the records of concurrent requests into one append each, because the log allows only few appends per second. */
internal class BatchAppender(
    private val stream: StreamName,
    private val log: AppendLog,
    private val batchMs: Long,
) {
    private class PendingAppend(
        val payload: String,
        val result: CompletableDeferred<Either<PlatformError, Long>>,
    )

    private val queue = Channel<PendingAppend>(MAX_QUEUED_RECORDS)

    /** Appends [payload] as part of a batch and returns its offset. Suspends while the queue is full. */
    suspend fun append(payload: String): Either<PlatformError, Long> {
        val pending = PendingAppend(payload, CompletableDeferred())
        queue.send(pending)
        return pending.result.await()
    }

    /** Collects each batch for [batchMs] and appends it; runs until cancelled. */
    suspend fun run() {
        while (true) {
            val batch = mutableListOf(queue.receive())
            delay(batchMs.milliseconds)
            while (batch.size < MAX_BATCH_RECORDS) batch += queue.tryReceive().getOrNull() ?: break
            val result = log.append(stream, batch.map { it.payload })
            batch.forEachIndexed { index, pending -> pending.result.complete(result.map { it + index }) }
        }
    }

    private companion object {
        const val MAX_QUEUED_RECORDS = 10_000
        const val MAX_BATCH_RECORDS = 256
    }
}
