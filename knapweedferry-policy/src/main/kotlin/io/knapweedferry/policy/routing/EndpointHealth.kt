package io.knapweedferry.policy.routing

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.max
import kotlin.math.min
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Health of one endpoint as the outcomes of requests show it. Health checks are not used: an endpoint may pass them and
 * fail its requests, or the reverse. What was seen loses weight with time, so that an endpoint that recovered is used again.
 */
public class EndpointHealth(
    private val timeSource: TimeSource = TimeSource.Monotonic,
) {
    private var failureShare = 0.0
    private var slowness = 1.0
    private var lastSeen: TimeMark = timeSource.markNow()
    private var unreachableInRow = 0
    private var refusedInRow = 0
    private var avoidedSince: TimeMark? = null
    private var avoidMs = 0L

    /** Share of recent requests that failed, from 0 to 1. */
    public fun failureShare(): Double = failureShare * faded()

    /** How many times longer than expected recent requests took; 1 if nothing is known. */
    public fun slowness(): Double = 1 + (slowness - 1) * faded()

    /** True while the endpoint could not be reached a short time ago. */
    public fun isAvoided(): Boolean = avoidedSince?.let { it.elapsedNow().inWholeMilliseconds < avoidMs } ?: false

    /** Notes an answer that took [elapsedMs] where [expectedMs] was expected. */
    public fun answered(
        elapsedMs: Long,
        expectedMs: Double,
    ) {
        val ratio = min(max(elapsedMs / max(expectedMs, 1.0), MIN_RATIO), MAX_RATIO)
        slowness = slowness() * (1 - WEIGHT) + ratio * WEIGHT
        noteFailure(0.0)
        unreachableInRow = 0
        refusedInRow = 0
        avoidedSince = null
    }

    /** Notes a request that the endpoint failed. */
    public fun failed() {
        noteFailure(1.0)
    }

    /** Notes that the endpoint accepted no connection or cut one off. Repeated failures are avoided for longer. */
    public fun unreachable() {
        noteFailure(1.0)
        unreachableInRow = min(unreachableInRow + 1, MAX_DOUBLINGS)
        avoid(FIRST_AVOID_MS shl (unreachableInRow - 1))
    }

    /**
     * Notes a run that the endpoint refused although it had reserved room for it: it may be changing its stage or leaving.
     * Unless [isCertain], the first one may have another reason.
     */
    public fun refusedRun(isCertain: Boolean) {
        refusedInRow = min(refusedInRow + 1, MAX_DOUBLINGS)
        if (isCertain || refusedInRow > 1) avoid(FIRST_REFUSED_MS shl (refusedInRow - 1))
    }

    /** Notes that the endpoint was ordered to change its stage. */
    public fun changingStage() {
        avoid(STAGE_CHANGE_MS)
    }

    /** Notes that another endpoint answered at its address, so it is gone and only the list does not say so yet. */
    public fun replaced() {
        avoid(REPLACED_MS)
    }

    private fun avoid(durationMs: Long) {
        val leftMs = avoidedSince?.let { avoidMs - it.elapsedNow().inWholeMilliseconds } ?: 0
        if (leftMs > durationMs) return
        avoidMs = durationMs
        avoidedSince = timeSource.markNow()
    }

    private fun noteFailure(value: Double) {
        failureShare = failureShare() * (1 - WEIGHT) + value * WEIGHT
        lastSeen = timeSource.markNow()
    }

    private fun faded(): Double = exp(-ln(2.0) * lastSeen.elapsedNow().inWholeMilliseconds / HALF_LIFE_MS)

    private companion object {
        /** Weight of one outcome; about eight outcomes shape the averages. */
        const val WEIGHT = 0.12

        /** Endpoint faults of the platform last some seconds. */
        const val HALF_LIFE_MS = 4_000.0
        const val MIN_RATIO = 0.2
        const val MAX_RATIO = 10.0

        /** A process that crashed takes about this long to start again. */
        const val FIRST_AVOID_MS = 300L
        const val MAX_DOUBLINGS = 4

        /** A change of stage takes several seconds, in which each try costs a caller an attempt. */
        const val FIRST_REFUSED_MS = 1_000L

        /** Time in which engines change their stage. */
        const val STAGE_CHANGE_MS = 6_000L

        /** The list of an entry that is cut off from the store may be this old. */
        const val REPLACED_MS = 10_000L
    }
}
