package io.knapweedferry.session

import arrow.core.getOrElse
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ClosedSendChannelException
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Runs an authenticated channel: one coroutine reads, one writes from a bounded queue, one sends heartbeats and detects
 * an unresponsive peer. Reading never waits for an exchange, so that a slow exchange cannot delay the others.
 */
internal class Connection(
    private val channel: FrameChannel,
    private val context: SessionContext,
    private val handler: FrameHandler,
) {
    private val settings = context.settings
    private val scope =
        context.scope + Job(context.scope.coroutineContext.job) + CoroutineExceptionHandler { _, _ -> close(CloseReason.IO_FAILED) }
    private val outbound = Channel<OutboundFrame>(MAX_QUEUED_FRAMES)
    private val closeReason = CompletableDeferred<CloseReason>()
    private val heartbeat = OutboundFrame(FrameCodec.encode(Frame.Heartbeat))

    @Volatile
    private var lastSentAt: TimeMark = TimeSource.Monotonic.markNow()

    @Volatile
    private var expectingFramesSince: TimeMark = TimeSource.Monotonic.markNow()

    val isOpen: Boolean get() = !closeReason.isCompleted

    /** Time since the last bytes from the peer, or since the first exchange in flight started, whichever is shorter. */
    val unresponsiveMs: Long
        get() = minOf(channel.lastReceivedAt.elapsedNow(), expectingFramesSince.elapsedNow()).inWholeMilliseconds

    /** Time since the last bytes from the peer, whether or not exchanges are in flight. */
    val sinceLastReceivedMs: Long get() = channel.lastReceivedAt.elapsedNow().inWholeMilliseconds

    fun start() {
        scope.launch { read() }
        scope.launch { write() }
        scope.launch { monitor() }
    }

    /** Must be called when an exchange starts while none is in flight, because an idle peer sends no heartbeats. */
    fun restartSilenceTimer() {
        expectingFramesSince = TimeSource.Monotonic.markNow()
    }

    /** Queues a frame, suspending while the queue is full; false if the session has ended. */
    suspend fun send(frame: ByteArray): Boolean = queue(OutboundFrame(frame))

    /** Queues a frame without suspending; if the queue is full, the frame is queued in the background. */
    fun enqueue(frame: ByteArray) {
        if (outbound.trySend(OutboundFrame(frame)).isFailure) scope.launch { send(frame) }
    }

    /** Suspends until all frames queued so far are written or the session has ended. */
    suspend fun awaitWritten() {
        val marker = OutboundFrame(heartbeat.bytes, CompletableDeferred())
        if (!queue(marker)) return
        select {
            marker.written?.onAwait {}
            closeReason.onAwait {}
        }
    }

    fun close(reason: CloseReason) {
        if (!closeReason.complete(reason)) return
        context.counters.sessionClosed(reason)
        outbound.close()
        // Emptying the queue resumes senders that are suspended on it.
        while (outbound.tryReceive().isSuccess) Unit
        handler.onClosed(reason)
        channel.close()
        scope.coroutineContext.job.cancel()
    }

    private suspend fun queue(frame: OutboundFrame): Boolean {
        try {
            outbound.send(frame)
        } catch (_: ClosedSendChannelException) {
            return false
        }
        return isOpen
    }

    private suspend fun read() {
        while (isOpen) {
            val frame = channel.read(settings.maxFrameBytes).getOrElse { return close(it) }
            handler.onFrame(frame)?.let { return close(it) }
        }
    }

    private suspend fun write() {
        for (frame in outbound) {
            val written =
                try {
                    withTimeoutOrNull(settings.heartbeatTimeoutMs) { writeBatch(frame) }
                } catch (_: IOException) {
                    return close(CloseReason.IO_FAILED)
                }
            if (written == null) return close(CloseReason.WRITE_STALLED)
            lastSentAt = TimeSource.Monotonic.markNow()
            written.forEach { it.complete(Unit) }
        }
    }

    /** Writes [first] and further queued frames with a single flush; returns the deferreds to complete for them. */
    private suspend fun writeBatch(first: OutboundFrame): List<CompletableDeferred<Unit>> {
        val waiting = mutableListOf<CompletableDeferred<Unit>>()
        var frame: OutboundFrame? = first
        var count = 0
        while (frame != null) {
            channel.write(frame.bytes)
            frame.written?.let(waiting::add)
            count++
            frame = if (count < MAX_QUEUED_FRAMES) outbound.tryReceive().getOrNull() else null
        }
        channel.flush()
        return waiting
    }

    private suspend fun monitor() {
        while (isOpen) {
            delay(nextCheckDelayMs())
            if (handler.inFlight == 0) {
                if (sinceLastReceivedMs >= settings.heartbeatTimeoutMs * IDLE_HEARTBEAT_TIMEOUTS) return close(CloseReason.IDLE)
                continue
            }
            if (unresponsiveMs >= settings.heartbeatTimeoutMs) return close(CloseReason.SILENT)
            if (lastSentAt.elapsedNow().inWholeMilliseconds >= settings.heartbeatIntervalMs / 2) outbound.trySend(heartbeat)
        }
    }

    private fun nextCheckDelayMs(): Long {
        if (handler.inFlight == 0) return settings.heartbeatIntervalMs
        return (settings.heartbeatTimeoutMs - unresponsiveMs).coerceIn(1, settings.heartbeatIntervalMs)
    }

    companion object {
        private const val MAX_QUEUED_FRAMES = 64

        /**
         * Idle sessions are closed after this many heartbeat timeouts. The client stops using an idle session after one,
         * so no request is in transit when the session is closed.
         */
        private const val IDLE_HEARTBEAT_TIMEOUTS = 3
    }
}
