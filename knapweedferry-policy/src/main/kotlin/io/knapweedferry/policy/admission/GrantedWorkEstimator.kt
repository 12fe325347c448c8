package io.knapweedferry.policy.admission

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Collects the work that engines grant to one queue during congestion. Like [GrantRateEstimator], but keeps the work and the
 * value of each grant. No I/O; confined to one thread.
 */
public class GrantedWorkEstimator(
    private val timeSource: TimeSource,
) {
    private val grants = ArrayDeque<Pair<TimeMark, GrantHistory.Grant>>()
    private var noCapacitySince: TimeMark? = null

    /** Records that a request found no capacity; starts the observation. */
    public fun recordNoCapacity() {
        if (noCapacitySince == null) noCapacitySince = timeSource.markNow()
    }

    /** Records that a queued request was granted capacity. */
    public fun recordGrant(request: WaitingRequest) {
        if (noCapacitySince != null) grants += timeSource.markNow() to GrantHistory.Grant(request.valueStep, request.work)
    }

    /** Records that the queue is empty; discards all observations. */
    public fun recordQueueEmpty() {
        noCapacitySince = null
        grants.clear()
    }

    /** Grants of the last seconds, or null if there are too few observations. */
    public fun history(): GrantHistory? {
        val observedMs = noCapacitySince?.elapsedNow()?.inWholeMilliseconds ?: return null
        if (observedMs < MIN_OBSERVED_MS) return null
        while (grants.isNotEmpty() && grants.first().first.elapsedNow() > WINDOW_MS.milliseconds) grants.removeFirst()
        return GrantHistory(minOf(observedMs, WINDOW_MS), grants.map { it.second })
    }

    private companion object {
        /** Engine runs take one to a few seconds, so capacity is freed several times per window. */
        const val WINDOW_MS = 2_000L

        /** Long enough for several reservation attempts at each engine; counts over shorter times are mostly chance. */
        const val MIN_OBSERVED_MS = 500L
    }
}
