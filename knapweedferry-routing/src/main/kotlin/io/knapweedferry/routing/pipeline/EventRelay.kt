package io.knapweedferry.routing.pipeline

import io.knapweedferry.routing.upstream.ResponsePart
import kotlinx.coroutines.withTimeoutOrNull

/** Relays the events of one stream to the caller. Several consecutive attempts may produce the stream. */
internal class EventRelay(
    private val job: ForwardingJob,
    private val settings: ForwardingSettings,
    /** True if another engine can take over the run. */
    private val canFailOver: () -> Boolean,
) {
    /** How the event stream of one attempt ended. */
    enum class End {
        COMPLETE,
        BROKEN,

        /** No data arrived within the pause timeout. */
        PAUSED,

        /** An event or the whole stream exceeds its size limit. */
        TOO_LONG,
    }

    /** Id of the last event that was delivered completely. */
    var lastEventId = job.call.traits.lastEventId
        private set

    suspend fun relay(attempt: Attempt): End {
        val splitter = EventSplitter()
        var receivedBytes = 0
        while (true) {
            val part = nextPart(attempt) ?: return End.PAUSED
            when (part) {
                is ResponsePart.Data -> {
                    receivedBytes += part.bytes.size
                    deliver(splitter.add(part.bytes))
                    if (splitter.partialEventBytes > MAX_EVENT_BYTES || receivedBytes > MAX_STREAM_BYTES) return End.TOO_LONG
                }
                is ResponsePart.Broken -> return End.BROKEN
                ResponsePart.End -> return complete(splitter)
            }
        }
    }

    private suspend fun complete(splitter: EventSplitter): End {
        if (splitter.hasPartialEvent) job.reply.write(splitter.takePartialEvent())
        job.reply.finish()
        return End.COMPLETE
    }

    private suspend fun nextPart(attempt: Attempt): ResponsePart? {
        val targetGapMs = job.route.targetEventGapMs
        if (targetGapMs == null || !canFailOver()) return attempt.next()
        return withTimeoutOrNull((targetGapMs * settings.pauseTimeoutFactor).toLong()) { attempt.next() }
    }

    private suspend fun deliver(events: List<StreamEvent>) {
        if (events.isEmpty()) return
        job.record.recordWrite()
        job.reply.write(EventSplitter.join(events))
        events.lastOrNull { it.id != null }?.let { lastEventId = it.id }
    }

    private companion object {
        /** Events of current models are below 1 KB. */
        const val MAX_EVENT_BYTES = 256 * 1024

        /** More than the longest output of current models at one event of 1 KB per token. */
        const val MAX_STREAM_BYTES = 8 * 1024 * 1024
    }
}
