package io.knapweedferry.routing.upstream

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select

/**
 * Response that a connection is receiving. [pauseReading] applies backpressure to the connection while the reader lags
 * behind, so that this process does not buffer a complete response for a slow caller. Confined to the event loop.
 */
internal class PendingResponse(
    private val pauseReading: (Boolean) -> Unit,
) {
    private val head = CompletableDeferred<Either<AttemptFailure, ResponseHead>>()
    private val parts = Channel<ResponsePart>(Channel.UNLIMITED)
    private var bufferedBytes = 0
    private var isPaused = false

    suspend fun head(): Either<AttemptFailure, ResponseHead> = head.await()

    /** Next part of the body. Must not be called again after [ResponsePart.End] or [ResponsePart.Broken]. */
    suspend fun next(): ResponsePart = parts.receive().also(::onTaken)

    /** Like [next], but null if no part arrives within [timeoutMs]. No part is lost then, unlike with a cancelled [next]. */
    @OptIn(ExperimentalCoroutinesApi::class)
    suspend fun nextWithin(timeoutMs: Long): ResponsePart? =
        select {
            parts.onReceive { it.also(::onTaken) }
            onTimeout(timeoutMs) { null }
        }

    private fun onTaken(part: ResponsePart) {
        if (part is ResponsePart.Data) {
            bufferedBytes -= part.bytes.size
            if (isPaused && bufferedBytes < RESUME_BELOW_BYTES) setPaused(false)
        }
    }

    fun begin(responseHead: ResponseHead) {
        head.complete(responseHead.right())
    }

    fun add(bytes: ByteArray) {
        bufferedBytes += bytes.size
        parts.trySend(ResponsePart.Data(bytes))
        if (!isPaused && bufferedBytes > PAUSE_ABOVE_BYTES) setPaused(true)
    }

    fun end(isDelimited: Boolean) {
        parts.trySend(ResponsePart.End(isDelimited))
    }

    /** [isDisconnect] if the connection was closed before the response was complete. */
    fun fail(
        detail: String,
        isDisconnect: Boolean,
    ) {
        head.complete(AttemptFailure.NoResponse(detail, isDisconnect).left())
        parts.trySend(ResponsePart.Broken(detail, isDisconnect))
    }

    private fun setPaused(value: Boolean) {
        isPaused = value
        pauseReading(value)
    }

    private companion object {
        /** Limits the memory of a response whose caller reads slowly; far larger than one event or one typical response. */
        const val PAUSE_ABOVE_BYTES = 256 * 1024
        const val RESUME_BELOW_BYTES = 64 * 1024
    }
}
