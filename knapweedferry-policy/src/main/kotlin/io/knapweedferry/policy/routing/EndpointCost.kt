package io.knapweedferry.policy.routing

import kotlin.math.max

/**
 * Estimates the cost of sending a request to an endpoint, as an expected delay in milliseconds. The endpoint with the
 * lowest cost is chosen.
 */
public object EndpointCost {
    /** Cost at a plain service, which runs as many requests as it has slots and queues the rest. */
    public fun plain(
        condition: EndpointCondition,
        expectedMs: Double,
    ): Double = plainParts(condition, expectedMs).totalMs

    /** Parts of the cost that [plain] returns. */
    public fun plainParts(
        condition: EndpointCondition,
        expectedMs: Double,
    ): EndpointCostParts {
        val queuedPerSlot = max(0.0, condition.load.requests + 1 - condition.slots) / condition.slots
        val utilisation = condition.load.requests / condition.slots
        val serviceMs = expectedMs * condition.latencyRatio * (1 + queuedPerSlot + utilisation * UTILISATION_WEIGHT)
        return penalties(condition).copy(serviceMs = serviceMs)
    }

    /** Cost at an engine, which prefills prompts one after another and needs KV cache for the whole run. */
    public fun engine(
        condition: EndpointCondition,
        promptTokens: Int,
        kvTokens: Int,
        prefillTokensPerMs: Double,
    ): Double = engineParts(condition, promptTokens, kvTokens, prefillTokensPerMs).totalMs

    /** Parts of the cost that [engine] returns. */
    public fun engineParts(
        condition: EndpointCondition,
        promptTokens: Int,
        kvTokens: Int,
        prefillTokensPerMs: Double,
    ): EndpointCostParts {
        val prefillMs = (condition.load.pendingPrefillTokens + promptTokens) / prefillTokensPerMs
        val batchMs = condition.load.requests * STEP_MS_PER_REQUEST
        val missingKvTokens = max(0.0, condition.load.kvTokens + kvTokens - condition.kvCapacityTokens * USABLE_KV_SHARE)
        val kvWaitMs = if (condition.kvCapacityTokens == 0) 0.0 else missingKvTokens / condition.kvCapacityTokens * FULL_TURNOVER_MS
        val ratio = condition.latencyRatio
        return penalties(condition).copy(prefillMs = prefillMs * ratio, batchMs = batchMs * ratio, kvWaitMs = kvWaitMs * ratio)
    }

    /** Cost of passing a KV cache on; a transfer between availability zones takes a share of a link that all of them use. */
    public fun kvTransferMs(isSameZone: Boolean): Double = if (isSameZone) 0.0 else CROSS_ZONE_TRANSFER_MS

    private fun penalties(condition: EndpointCondition) =
        EndpointCostParts(
            zoneMs = if (condition.isSameZone) 0.0 else CROSS_ZONE_PENALTY_MS,
            avoidedMs = if (condition.isAvoided) AVOIDED_PENALTY_MS else 0.0,
            failureMs = condition.failureRate * FAILURE_PENALTY_MS,
            overdueMs = condition.overdueMs * OVERDUE_WEIGHT,
        )

    /** Busy slots slow a plain endpoint down even before it queues requests. */
    private const val UTILISATION_WEIGHT = 0.5

    /** Round trip between zones plus the cost of cross-zone traffic. */
    private const val CROSS_ZONE_PENALTY_MS = 4.0

    /** A fraction of the time to read a typical prompt: an engine of the same zone with a queue is not preferred to an idle one. */
    private const val CROSS_ZONE_TRANSFER_MS = 15.0

    /** Exceeds any deadline, so that an avoided endpoint is the last choice but remains one. */
    private const val AVOIDED_PENALTY_MS = 20_000.0

    /** A failed request costs several times the target latency of a plain service. */
    private const val FAILURE_PENALTY_MS = 600.0
    private const val OVERDUE_WEIGHT = 2.0

    /** Growth of the step time of an engine per request in its batch, times the number of steps to the first event. */
    private const val STEP_MS_PER_REQUEST = 2.0

    /** Reserve for KV cache blocks being rounded up and for answers longer than expected. */
    private const val USABLE_KV_SHARE = 0.9

    /** Time in which a fully loaded engine replaces all its running requests. */
    private const val FULL_TURNOVER_MS = 1_500.0
}
