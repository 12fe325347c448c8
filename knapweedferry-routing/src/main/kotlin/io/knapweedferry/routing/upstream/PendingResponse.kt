package io.knapweedferry.routing.upstream

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import java.io.ByteArrayOutputStream

/**
 * Response that a connection is receiving. Bytes that arrive before the reader takes them are joined, so that the reader's work
 * does not depend on the sizes in which they were sent. [pauseReading] applies backpressure to the connection while the reader
 * lags behind, so that this process does not buffer a complete response for a slow caller. Confined to the event loop.
 */
internal class PendingResponse(
    private val pauseReading: (Boolean) -> Unit,
) {
    private val head = CompletableDeferred<Either<AttemptFailure, ResponseHead>>()
    private val received = ByteArrayOutputStream()

    /** How the body ended; null while it goes on. */
    private var last: ResponsePart? = null
    private val arrivals = Channel<Unit>(Channel.CONFLATED)
    private var isPaused = false

    suspend fun head(): Either<AttemptFailure, ResponseHead> = head.await()

    /** Next part of the body. Must not be called again after [ResponsePart.End] or [ResponsePart.Broken]. */
    suspend fun next(): ResponsePart {
        while (true) {
            take()?.let { return it }
            arrivals.receive()
        }
    }

    /** Like [next], but null if no part arrives within [timeoutMs]. */
    suspend fun nextWithin(timeoutMs: Long): ResponsePart? = withTimeoutOrNull(timeoutMs) { next() }

    private fun take(): ResponsePart? {
        if (received.size() == 0) return last
        val bytes = received.toByteArray()
        received.reset()
        if (isPaused) setPaused(false)
        return ResponsePart.Data(bytes)
    }

    fun begin(responseHead: ResponseHead) {
        head.complete(responseHead.right())
    }

    fun add(bytes: ByteArray) {
        received.write(bytes)
        arrivals.trySend(Unit)
        if (!isPaused && received.size() > PAUSE_ABOVE_BYTES) setPaused(true)
    }

    fun end(isDelimited: Boolean) = endWith(ResponsePart.End(isDelimited))

    /** [isDisconnect] if the connection was closed before the response was complete. */
    fun fail(
        detail: String,
        isDisconnect: Boolean,
    ) {
        head.complete(AttemptFailure.NoResponse(detail, isDisconnect).left())
        endWith(ResponsePart.Broken(detail, isDisconnect))
    }

    private fun endWith(part: ResponsePart) {
        last = part
        arrivals.trySend(Unit)
    }

    private fun setPaused(value: Boolean) {
        isPaused = value
        pauseReading(value)
    }

    private companion object {
        /** Limits the memory of a response whose caller reads slowly; far larger than one event or one typical response. */
        const val PAUSE_ABOVE_BYTES = 256 * 1024
    }
}
