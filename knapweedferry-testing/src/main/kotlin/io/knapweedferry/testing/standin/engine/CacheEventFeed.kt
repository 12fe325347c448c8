package io.knapweedferry.testing.standin.engine

import io.knapweedferry.platform.engine.CacheEvent
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Cache events that become visible late and of which some are lost. */
internal class CacheEventFeed(
    private val lagMs: Long,
    private val lossProbability: Double,
    private val random: Random,
    private val timeSource: TimeSource,
) {
    private val events = ArrayDeque<Entry>()
    private var sequence = 0L

    fun add(
        prefixHash: String,
        cached: Boolean,
    ) {
        sequence++
        if (random.nextDouble() < lossProbability) return
        events += Entry(CacheEvent(sequence, prefixHash, cached), timeSource.markNow() + lagMs.milliseconds)
        if (events.size > KEPT_EVENTS) events.removeFirst()
    }

    fun after(sequence: Long): List<CacheEvent> =
        events
            .asSequence()
            .takeWhile { it.visibleAt.hasPassedNow() }
            .map { it.event }
            .filter { it.sequence > sequence }
            .toList()

    private class Entry(
        val event: CacheEvent,
        val visibleAt: TimeMark,
    )

    private companion object {
        const val KEPT_EVENTS = 10_000
    }
}
