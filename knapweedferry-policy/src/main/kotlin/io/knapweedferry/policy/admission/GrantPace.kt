package io.knapweedferry.policy.admission

import kotlin.math.sqrt
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Pace at which waiting requests get room, seen from the last seconds in which there was too little for all. Others may take
 * room from the same endpoints, so the own pace says more than what the endpoints hold. Pure; confined to one thread.
 */
public class GrantPace(
    private val timeSource: TimeSource,
) {
    private val grants = ArrayDeque<TimeMark>()
    private var fullSince: TimeMark? = null

    /** A request found no room. */
    public fun noteFull() {
        if (fullSince == null) fullSince = timeSource.markNow()
    }

    /** A waiting request got room. */
    public fun noteGrant() {
        if (fullSince != null) grants += timeSource.markNow()
    }

    /** No request waits any more. */
    public fun noteIdle() {
        fullSince = null
        grants.clear()
    }

    /** Least time until a request with [ahead] others before it gets room; null while too little was seen. */
    public fun waitMs(ahead: Int): Double? {
        val observedMs = fullSince?.elapsedNow()?.inWholeMilliseconds ?: return null
        if (observedMs < MIN_OBSERVED_MS) return null
        while (grants.isNotEmpty() && grants.first().elapsedNow() > WINDOW_MS.milliseconds) grants.removeFirst()
        return ahead * minOf(observedMs, WINDOW_MS) / (grants.size + sqrt(grants.size.toDouble()) + UNSEEN_GRANTS)
    }

    private companion object {
        /** With the spread of a count added, about nine in ten counts of the same pace are below the bound. */
        const val UNSEEN_GRANTS = 2

        /** Runs of today's engines take one to a few seconds, so places come free several times in this time. */
        const val WINDOW_MS = 2_000L

        /** Several questions to each engine; what is seen in less time is chance. */
        const val MIN_OBSERVED_MS = 500L
    }
}
