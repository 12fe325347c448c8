package io.knapweedferry.policy.admission

import kotlin.math.sqrt
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Estimates queueing time from the rate at which queued requests were granted capacity during the last seconds of
 * congestion. Other entries may draw on the same endpoints, so the observed grant rate is a better predictor than the free
 * capacity of the endpoints. No I/O; confined to one thread.
 */
public class GrantRateEstimator(
    private val timeSource: TimeSource,
) {
    private val grants = ArrayDeque<TimeMark>()
    private var noCapacitySince: TimeMark? = null

    /** Records that a request found no capacity; starts the observation. */
    public fun recordNoCapacity() {
        if (noCapacitySince == null) noCapacitySince = timeSource.markNow()
    }

    /** Records that a queued request was granted capacity. */
    public fun recordGrant() {
        if (noCapacitySince != null) grants += timeSource.markNow()
    }

    /** Records that the queue is empty; discards all observations. */
    public fun recordQueueEmpty() {
        noCapacitySince = null
        grants.clear()
    }

    /**
     * Lower bound of the time until a request with [ahead] others before it is granted capacity, or null if there are too
     * few observations.
     */
    public fun waitMs(ahead: Int): Double? {
        val observedMs = noCapacitySince?.elapsedNow()?.inWholeMilliseconds ?: return null
        if (observedMs < MIN_OBSERVED_MS) return null
        while (grants.isNotEmpty() && grants.first().elapsedNow() > WINDOW_MS.milliseconds) grants.removeFirst()
        return ahead * minOf(observedMs, WINDOW_MS) / (grants.size + sqrt(grants.size.toDouble()) + CONFIDENCE_MARGIN_GRANTS)
    }

    private companion object {
        /**
         * Added to the count and its standard deviation, so that about nine in ten counts at the same rate stay below the
         * bound.
         */
        const val CONFIDENCE_MARGIN_GRANTS = 2

        /** Engine runs take one to a few seconds, so capacity is freed several times per window. */
        const val WINDOW_MS = 2_000L

        /** Long enough for several reservation attempts at each engine; counts over shorter times are mostly chance. */
        const val MIN_OBSERVED_MS = 500L
    }
}
