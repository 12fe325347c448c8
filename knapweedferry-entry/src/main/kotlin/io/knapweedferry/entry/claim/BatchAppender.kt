package io.knapweedferry.entry.claim

import arrow.core.Either
import io.knapweedferry.api.StreamName
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.log.AppendLog
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

/** Appends records of many requests together, so that a log with few appends a second carries many claims. */
internal class BatchAppender(
    private val stream: StreamName,
    private val log: AppendLog,
    private val batchMs: Long,
) {
    private class Waiting(
        val payload: String,
        val result: CompletableDeferred<Either<PlatformError, Long>>,
    )

    private val queue = Channel<Waiting>(QUEUE_LIMIT)

    /** Appends [payload] with others and returns its offset. */
    suspend fun append(payload: String): Either<PlatformError, Long> {
        val waiting = Waiting(payload, CompletableDeferred())
        queue.send(waiting)
        return waiting.result.await()
    }

    /** Writes batches until it is cancelled. */
    suspend fun run() {
        while (true) {
            val batch = mutableListOf(queue.receive())
            delay(batchMs.milliseconds)
            while (batch.size < MAX_BATCH_RECORDS) batch += queue.tryReceive().getOrNull() ?: break
            val result = log.append(stream, batch.map { it.payload })
            batch.forEachIndexed { index, waiting -> waiting.result.complete(result.map { it + index }) }
        }
    }

    private companion object {
        const val QUEUE_LIMIT = 10_000
        const val MAX_BATCH_RECORDS = 256
    }
}
