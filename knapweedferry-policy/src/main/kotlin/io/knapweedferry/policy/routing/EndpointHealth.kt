package io.knapweedferry.policy.routing

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.max
import kotlin.math.min
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Passive health tracking of one endpoint from request outcomes. Active health checks are not used: an endpoint may pass
 * them and still fail requests, or the reverse. Observations decay over time, so that an endpoint that recovered is used
 * again.
 */
public class EndpointHealth(
    private val timeSource: TimeSource = TimeSource.Monotonic,
) {
    private var failureRate = 0.0
    private var latencyRatio = 1.0
    private var lastOutcomeAt: TimeMark = timeSource.markNow()
    private var consecutiveUnreachable = 0
    private var consecutiveRefusals = 0
    private var avoidedSince: TimeMark? = null
    private var avoidDurationMs = 0L
    private var runRefusedAt: TimeMark? = null

    /** Decaying average of failed requests, from 0 to 1. */
    public fun failureRate(): Double = failureRate * decay()

    /** Decaying average of the ratio of actual to expected response time; 1 without observations. */
    public fun latencyRatio(): Double = 1 + (latencyRatio - 1) * decay()

    /** Whether the endpoint was recently found unusable and its avoidance time has not ended. */
    public fun isAvoided(): Boolean = avoidedSince?.let { it.elapsedNow().inWholeMilliseconds < avoidDurationMs } ?: false

    /** Whether the endpoint refused a run so recently that it must not be tried, even if there is no other endpoint. */
    public fun hasRefusedRun(): Boolean = runRefusedAt?.let { it.elapsedNow().inWholeMilliseconds < REFUSED_BASE_AVOID_MS } ?: false

    /** Records a response after [elapsedMs] where [expectedMs] was expected, and ends any avoidance. */
    public fun recordResponse(
        elapsedMs: Long,
        expectedMs: Double,
    ) {
        val ratio = min(max(elapsedMs / max(expectedMs, 1.0), MIN_LATENCY_RATIO), MAX_LATENCY_RATIO)
        latencyRatio = latencyRatio() * (1 - OUTCOME_WEIGHT) + ratio * OUTCOME_WEIGHT
        recordOutcome(0.0)
        consecutiveUnreachable = 0
        consecutiveRefusals = 0
        avoidedSince = null
        runRefusedAt = null
    }

    /** Records a request that failed at the endpoint. */
    public fun recordFailure() {
        recordOutcome(1.0)
    }

    /** Records a refused or broken connection. The avoidance time doubles with each consecutive failure, up to a limit. */
    public fun recordUnreachable() {
        recordOutcome(1.0)
        consecutiveUnreachable = min(consecutiveUnreachable + 1, MAX_COUNTED_FAILURES)
        avoidFor(UNREACHABLE_BASE_AVOID_MS shl (consecutiveUnreachable - 1))
    }

    /**
     * Records a run that the endpoint refused despite a reservation: it may be changing its stage or shutting down. Unless
     * [isCertain], the first refusal is tolerated because it may have another cause.
     */
    public fun recordRunRefused(isCertain: Boolean) {
        consecutiveRefusals = min(consecutiveRefusals + 1, MAX_COUNTED_FAILURES)
        if (!isCertain && consecutiveRefusals == 1) return
        avoidFor(REFUSED_BASE_AVOID_MS shl (consecutiveRefusals - 1))
        runRefusedAt = timeSource.markNow()
    }

    /** Records that the endpoint was ordered to change its stage. */
    public fun recordStageChange() {
        avoidFor(STAGE_CHANGE_AVOID_MS)
    }

    /** Records that another endpoint answered at this address: the endpoint is gone and the endpoint list is stale. */
    public fun recordReplaced() {
        avoidFor(REPLACED_AVOID_MS)
    }

    private fun avoidFor(durationMs: Long) {
        val leftMs = avoidedSince?.let { avoidDurationMs - it.elapsedNow().inWholeMilliseconds } ?: 0
        if (leftMs > durationMs) return
        avoidDurationMs = durationMs
        avoidedSince = timeSource.markNow()
    }

    private fun recordOutcome(value: Double) {
        failureRate = failureRate() * (1 - OUTCOME_WEIGHT) + value * OUTCOME_WEIGHT
        lastOutcomeAt = timeSource.markNow()
    }

    private fun decay(): Double = exp(-ln(2.0) * lastOutcomeAt.elapsedNow().inWholeMilliseconds / DECAY_HALF_LIFE_MS)

    private companion object {
        /** Smoothing factor of the averages; about the last eight outcomes dominate. */
        const val OUTCOME_WEIGHT = 0.12

        /** Endpoint faults on the platform last some seconds. */
        const val DECAY_HALF_LIFE_MS = 4_000.0
        const val MIN_LATENCY_RATIO = 0.2
        const val MAX_LATENCY_RATIO = 10.0

        /** Typical restart time of a crashed process. */
        const val UNREACHABLE_BASE_AVOID_MS = 300L
        const val MAX_COUNTED_FAILURES = 4

        /** A stage change takes several seconds, during which each try costs the caller one attempt. */
        const val REFUSED_BASE_AVOID_MS = 1_000L

        /** Time in which engines complete a stage change. */
        const val STAGE_CHANGE_AVOID_MS = 6_000L

        /** Maximum staleness of the endpoint list of an entry that cannot reach the store. */
        const val REPLACED_AVOID_MS = 10_000L
    }
}
