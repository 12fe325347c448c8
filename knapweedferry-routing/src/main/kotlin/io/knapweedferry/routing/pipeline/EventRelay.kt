package io.knapweedferry.routing.pipeline

import io.knapweedferry.routing.fleet.CompletedRun
import io.knapweedferry.routing.upstream.ResponsePart

/**
 * Relays the events of one stream to the caller. Several consecutive attempts may produce the stream. Progress is counted in
 * complete events that carry data: a stalled engine may still send a byte or a comment now and then.
 */
internal class EventRelay(
    private val job: ForwardingJob,
    private val settings: ForwardingSettings,
    /** Called with each sign that the engine of the present attempt answers the request. */
    private val onAnswering: () -> Unit,
    /** Called when an engine has completed the answer. */
    private val onCompleted: () -> Unit,
    /** Called when an attempt makes no progress; true if another engine has taken over the run. */
    private val failOver: suspend () -> Boolean,
) {
    /** How the event stream of one attempt ended. */
    enum class End {
        COMPLETE,
        BROKEN,

        /** The response violates the protocol. */
        MALFORMED,

        /** No event arrived within the pause timeout, and another engine has taken over. */
        PAUSED,

        /** An event, the bytes without an event with data, or the whole stream exceed their size limit. */
        TOO_LONG,
    }

    /** Id of the last event that was delivered completely. */
    var lastEventId = job.call.traits.lastEventId
        private set

    /** False once the caller has received an event after which no engine can be asked to go on, because no header may contain its id. */
    var isResumable = true
        private set

    /** Number of events with data that the present attempt has delivered. */
    var attemptEvents = 0
        private set

    /** Time since arrival of the first event with data of the present attempt. */
    private var firstEventMs = 0L

    private val order = EventOrder()

    /** True if an earlier attempt has delivered events, so that the present one continues the stream. */
    private var isContinuation = false

    /** Time since arrival of the last event with data of the present attempt, or of its start. */
    private var lastProgressMs = 0L

    /** Bytes of the present attempt after its last event with data. */
    private var bytesSinceProgress = 0

    /** Times of the present attempt, whose engine held the KV cache of the run for [heldMs]. */
    fun completedRun(heldMs: Long): CompletedRun = CompletedRun(heldMs, attemptEvents, lastProgressMs - firstEventMs)

    suspend fun relay(attempt: Attempt): End {
        val splitter = EventSplitter()
        var receivedBytes = 0
        bytesSinceProgress = 0
        isContinuation = isContinuation || attemptEvents > 0
        attemptEvents = 0
        lastProgressMs = job.call.elapsedMs
        while (true) {
            val part = nextPart(attempt) ?: return End.PAUSED
            when (part) {
                is ResponsePart.Data -> {
                    receivedBytes += part.bytes.size
                    bytesSinceProgress += part.bytes.size
                    val events = splitter.add(part.bytes)
                    if (!continuesStream(events)) return End.MALFORMED
                    deliver(attempt, events, splitter.partialEventBytes)
                    if (bytesSinceProgress > MAX_EVENT_BYTES || receivedBytes > MAX_STREAM_BYTES) return End.TOO_LONG
                }
                is ResponsePart.Broken -> return if (part.isDisconnect) End.BROKEN else End.MALFORMED
                is ResponsePart.End -> return end(attempt, part, splitter)
            }
        }
    }

    /** The first events of a stream may be of any shape, because nothing has been delivered that they would have to continue. */
    private fun continuesStream(events: EventBlock): Boolean {
        val hasDelivered = isContinuation || attemptEvents > 0
        return (events.isWellFormed || !hasDelivered) && order.continuesWith(events.ids)
    }

    /** A continuation without an event does not show that the stream was complete before. */
    private suspend fun end(
        attempt: Attempt,
        part: ResponsePart.End,
        splitter: EventSplitter,
    ): End =
        when {
            isCutOff(part, splitter) -> End.BROKEN
            isContinuation && attemptEvents == 0 -> End.MALFORMED
            else -> complete(attempt, splitter)
        }

    /** An endpoint that crashes closes its connection, often within an event or before the first one. */
    private fun isCutOff(
        part: ResponsePart.End,
        splitter: EventSplitter,
    ) = !part.isDelimited && (splitter.hasPartialEvent || attemptEvents == 0)

    private suspend fun complete(
        attempt: Attempt,
        splitter: EventSplitter,
    ): End {
        if (isContinuation && !splitter.isPartialEventWellFormed) return End.MALFORMED
        if (splitter.hasPartialEvent) job.reply.write(splitter.takePartialEvent(), attempt::unreadMs)
        job.reply.finish()
        if (attemptEvents > 0) onCompleted()
        return End.COMPLETE
    }

    /** Null once another engine has taken over. An attempt that no engine can take over is never given up for its pauses. */
    private suspend fun nextPart(attempt: Attempt): ResponsePart? {
        val targetGapMs = job.route.targetEventGapMs ?: return attempt.next()
        val maxPauseMs = (targetGapMs * settings.pauseTimeoutFactor).toLong().coerceAtLeast(MIN_PAUSE_MS)
        while (true) {
            val leftMs = maxPauseMs - (job.call.elapsedMs - lastProgressMs)
            if (leftMs > 0) attempt.nextWithin(leftMs)?.let { return it }
            if (leftMs > 0) continue
            if (failOver()) return null
            lastProgressMs = job.call.elapsedMs
        }
    }

    private suspend fun deliver(
        attempt: Attempt,
        events: EventBlock,
        partialEventBytes: Int,
    ) {
        if (events.bytes.isEmpty()) return
        job.record.recordWrite()
        job.reply.write(events.bytes, attempt::unreadMs)
        events.lastEventId?.let {
            lastEventId = it
            isResumable = it.none(Char::isISOControl)
        }
        if (events.dataEvents == 0) return
        lastProgressMs = job.call.elapsedMs
        if (attemptEvents == 0) firstEventMs = lastProgressMs
        bytesSinceProgress = partialEventBytes
        attemptEvents += events.dataEvents
        onAnswering()
    }

    private companion object {
        /** Limits how often another engine is asked to take over, whatever the route says. */
        const val MIN_PAUSE_MS = 100L

        /** Events of current models are below 1 KB. */
        const val MAX_EVENT_BYTES = 256 * 1024

        /** More than the longest output of current models at one event of 1 KB per token. */
        const val MAX_STREAM_BYTES = 8 * 1024 * 1024
    }
}
