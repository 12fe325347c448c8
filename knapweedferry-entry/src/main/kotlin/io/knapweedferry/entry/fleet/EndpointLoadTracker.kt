package io.knapweedferry.entry.fleet

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.LoadSummary
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** For each endpoint: last reported load, outstanding requests of this entry, and whether to avoid it after an error. */
internal class EndpointLoadTracker(
    private val timeSource: TimeSource,
) {
    private class ReportedLoad(
        val load: LoadSummary,
        val at: TimeMark,
    )

    private val loads = ConcurrentHashMap<EndpointId, ReportedLoad>()
    private val outstanding = ConcurrentHashMap<EndpointId, AtomicInteger>()
    private val avoidUntil = ConcurrentHashMap<EndpointId, TimeMark>()

    fun recordLoad(load: LoadSummary?) {
        if (load == null) return
        loads[load.endpoint] = ReportedLoad(load, timeSource.markNow())
    }

    fun load(endpoint: EndpointId): LoadSummary? = loads[endpoint]?.load

    /** Age of the last reported load, or 0 if none was reported. */
    fun loadAgeMs(endpoint: EndpointId): Long = loads[endpoint]?.at?.elapsedNow()?.inWholeMilliseconds ?: 0

    fun outstanding(endpoint: EndpointId): Int = outstanding[endpoint]?.get() ?: 0

    fun requestStarted(endpoint: EndpointId) {
        outstanding.computeIfAbsent(endpoint) { AtomicInteger() }.incrementAndGet()
    }

    fun requestEnded(endpoint: EndpointId) {
        outstanding[endpoint]?.decrementAndGet()
    }

    /** Avoids an endpoint, for example one that is leaving or unreachable, for [AVOID_DURATION_MS]. */
    fun avoid(endpoint: EndpointId) {
        avoidUntil[endpoint] = timeSource.markNow() + AVOID_DURATION_MS.milliseconds
    }

    fun isAvoided(endpoint: EndpointId): Boolean = avoidUntil[endpoint]?.hasNotPassedNow() ?: false

    /** Removes the state of all other endpoints, except of those with outstanding requests. */
    fun retainOnly(endpoints: Set<EndpointId>) {
        loads.keys.retainAll(endpoints)
        avoidUntil.keys.retainAll(endpoints)
        outstanding.entries.removeIf { it.key !in endpoints && it.value.get() == 0 }
    }

    companion object {
        /** Long enough that a dead endpoint fails few attempts, short enough that a restarted one is soon used again. */
        const val AVOID_DURATION_MS = 1_000L
    }
}
