package io.knapweedferry.routing.upstream

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import java.io.ByteArrayOutputStream
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Response that a connection is receiving. Bytes that arrive before the reader takes them are joined, so that the reader's work
 * does not depend on the sizes in which they were sent. [pauseReading] applies backpressure to the connection while the reader
 * lags behind, so that this process does not buffer a complete response for a slow caller. Confined to the event loop.
 */
internal class PendingResponse(
    private val memory: UnreadMemory,
    private val timeSource: TimeSource,
    private val pauseReading: (Boolean) -> Unit,
) {
    private val head = CompletableDeferred<Either<AttemptFailure, ResponseHead>>()
    private val received = ByteArrayOutputStream()

    /** How the body ended; null while it goes on. */
    private var last: ResponsePart? = null
    private val arrivals = Channel<Unit>(Channel.CONFLATED)
    private var pausedSince: TimeMark? = null

    /** Bytes that the reader takes now, and the position of the first one that is left. */
    private var taken = ByteArray(0)
    private var position = 0
    private var isDiscarded = false

    private val unreadBytes: Int get() = taken.size - position + received.size()

    /** Time for which the connection has not been read because the reader lags behind; 0 if it is read. */
    val pausedMs: Long get() = pausedSince?.elapsedNow()?.inWholeMilliseconds ?: 0

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

    /** Parts are small, so that the connection is read again soon after a slow reader has taken one. */
    private fun take(): ResponsePart? {
        if (position == taken.size) {
            if (received.size() == 0) return last
            taken = received.toByteArray()
            position = 0
            received.reset()
        }
        val end = minOf(position + MAX_PART_BYTES, taken.size)
        val part = if (position == 0 && end == taken.size) taken else taken.copyOfRange(position, end)
        memory.remove(end - position)
        position = end
        if (pausedSince != null && unreadBytes < memory.maxPerResponse) setPaused(false)
        return ResponsePart.Data(part)
    }

    /** Forgets what the reader has not taken, which will not go on. */
    fun discard() {
        if (isDiscarded) return
        memory.remove(unreadBytes)
        isDiscarded = true
        taken = ByteArray(0)
        position = 0
        received.reset()
    }

    fun begin(responseHead: ResponseHead) {
        head.complete(responseHead.right())
    }

    fun add(bytes: ByteArray) {
        if (isDiscarded) return
        received.write(bytes)
        memory.add(bytes.size)
        arrivals.trySend(Unit)
        if (pausedSince == null && unreadBytes > memory.maxPerResponse) setPaused(true)
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
        pausedSince = if (value) timeSource.markNow() else null
        pauseReading(value)
    }

    private companion object {
        /** One or two reads of the connection. */
        const val MAX_PART_BYTES = 16 * 1024
    }
}
