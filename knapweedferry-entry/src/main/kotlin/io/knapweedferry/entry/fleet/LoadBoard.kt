package io.knapweedferry.entry.fleet

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.LoadDigest
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** What this entry last heard of each endpoint's load, what it has outstanding there, and which endpoints to avoid for a while. */
internal class LoadBoard(
    private val timeSource: TimeSource,
) {
    private class HeardLoad(
        val digest: LoadDigest,
        val at: TimeMark,
    )

    private val loads = ConcurrentHashMap<EndpointId, HeardLoad>()
    private val outstanding = ConcurrentHashMap<EndpointId, AtomicInteger>()
    private val avoidUntil = ConcurrentHashMap<EndpointId, TimeMark>()

    fun heard(digest: LoadDigest?) {
        if (digest == null) return
        loads[digest.endpoint] = HeardLoad(digest, timeSource.markNow())
    }

    fun load(endpoint: EndpointId): LoadDigest? = loads[endpoint]?.digest

    fun loadAgeMs(endpoint: EndpointId): Long = loads[endpoint]?.at?.elapsedNow()?.inWholeMilliseconds ?: 0

    fun outstanding(endpoint: EndpointId): Int = outstanding[endpoint]?.get() ?: 0

    fun started(endpoint: EndpointId) {
        outstanding.computeIfAbsent(endpoint) { AtomicInteger() }.incrementAndGet()
    }

    fun ended(endpoint: EndpointId) {
        outstanding[endpoint]?.decrementAndGet()
    }

    /** Keeps new work away from an endpoint that is leaving or cannot be reached. */
    fun avoid(endpoint: EndpointId) {
        avoidUntil[endpoint] = timeSource.markNow() + AVOID_MS.milliseconds
    }

    fun isAvoided(endpoint: EndpointId): Boolean = avoidUntil[endpoint]?.hasNotPassedNow() ?: false

    fun forgetAllBut(endpoints: Set<EndpointId>) {
        loads.keys.retainAll(endpoints)
        avoidUntil.keys.retainAll(endpoints)
        outstanding.entries.removeIf { it.key !in endpoints && it.value.get() == 0 }
    }

    companion object {
        /** Long enough that a dead endpoint costs few attempts, short enough that a restarted one is used again soon. */
        const val AVOID_MS = 1_000L
    }
}
