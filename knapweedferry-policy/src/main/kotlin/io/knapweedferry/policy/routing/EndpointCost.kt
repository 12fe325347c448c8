package io.knapweedferry.policy.routing

import kotlin.math.max

/** Estimates in ms what a request would have to wait at an endpoint; the endpoint with the lowest estimate is chosen. */
public object EndpointCost {
    /** A plain service runs up to its slots at once and queues the rest. */
    public fun plain(
        condition: EndpointCondition,
        expectedMs: Double,
    ): Double {
        val waiting = max(0.0, condition.load.requests + 1 - condition.slots) / condition.slots
        val share = condition.load.requests / condition.slots
        return expectedMs * condition.slowness * (1 + waiting + share * BUSY_WEIGHT) + common(condition)
    }

    /** An engine reads prompts one after another and needs room in its KV cache for the whole run. */
    public fun engine(
        condition: EndpointCondition,
        promptTokens: Int,
        kvTokens: Int,
        readTokensPerMs: Double,
    ): Double {
        val readMs = (condition.load.unreadTokens + promptTokens) / readTokensPerMs
        val batchMs = condition.load.requests * STEP_MS_PER_REQUEST
        val missing = max(0.0, condition.load.kvTokens + kvTokens - condition.kvCapacityTokens * USABLE_KV_SHARE)
        val roomMs = if (condition.kvCapacityTokens == 0) 0.0 else missing / condition.kvCapacityTokens * FULL_TURNOVER_MS
        return (readMs + batchMs + roomMs) * condition.slowness + common(condition)
    }

    private fun common(condition: EndpointCondition): Double {
        val zoneMs = if (condition.isSameZone) 0.0 else OTHER_ZONE_MS
        val avoidedMs = if (condition.isAvoided) AVOIDED_MS else 0.0
        return zoneMs + avoidedMs + condition.failureShare * FAILURE_MS + condition.overdueMs * OVERDUE_WEIGHT
    }

    /** A share of busy slots slows a plain endpoint down before it queues. */
    private const val BUSY_WEIGHT = 0.5

    /** Twice the one-way latency between zones, and the price of the bytes. */
    private const val OTHER_ZONE_MS = 4.0

    /** Longer than any deadline, so that an unreachable endpoint is the last choice and still one. */
    private const val AVOIDED_MS = 20_000.0

    /** A failed request costs about one target latency of a plain service, several times. */
    private const val FAILURE_MS = 600.0
    private const val OVERDUE_WEIGHT = 2.0

    /** Growth of an engine's step per request in its batch, times the steps to a first event. */
    private const val STEP_MS_PER_REQUEST = 2.0

    /** Blocks are rounded up, and answers may be longer than expected. */
    private const val USABLE_KV_SHARE = 0.9

    /** Time in which a full engine replaces all of its running requests. */
    private const val FULL_TURNOVER_MS = 1_500.0
}
