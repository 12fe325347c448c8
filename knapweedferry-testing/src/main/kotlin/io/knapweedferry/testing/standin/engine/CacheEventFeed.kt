package io.knapweedferry.testing.standin.engine

import io.knapweedferry.platform.engine.CacheEvent
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Prefix cache events, published after a delay; a configurable share is dropped. */
internal class CacheEventFeed(
    private val lagMs: Long,
    private val lossProbability: Double,
    private val random: Random,
    private val timeSource: TimeSource,
) {
    private val events = ArrayDeque<DelayedEvent>()
    private var lastSequence = 0L

    fun add(
        prefixHash: String,
        cached: Boolean,
    ) {
        lastSequence++
        if (random.nextDouble() < lossProbability) return
        events += DelayedEvent(CacheEvent(lastSequence, prefixHash, cached), timeSource.markNow() + lagMs.milliseconds)
        if (events.size > MAX_RETAINED_EVENTS) events.removeFirst()
    }

    fun after(sequence: Long): List<CacheEvent> =
        events
            .asSequence()
            .takeWhile { it.visibleAt.hasPassedNow() }
            .map { it.event }
            .filter { it.sequence > sequence }
            .toList()

    private class DelayedEvent(
        val event: CacheEvent,
        val visibleAt: TimeMark,
    )

    private companion object {
        const val MAX_RETAINED_EVENTS = 10_000
    }
}
