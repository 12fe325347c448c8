package io.knapweedferry.routing.fleet

import io.knapweedferry.api.AvailabilityZone
import io.knapweedferry.api.EndpointId
import io.knapweedferry.policy.routing.EndpointCondition
import io.knapweedferry.policy.routing.EndpointCost
import io.knapweedferry.policy.routing.EndpointCostParts
import io.knapweedferry.policy.routing.FillOrder
import io.knapweedferry.routing.call.CallTraits
import io.knapweedferry.routing.model.EndpointStage
import io.knapweedferry.routing.model.EngineProfile
import io.knapweedferry.routing.model.RoutedEndpoint
import io.knapweedferry.telemetry.EventLog
import kotlin.random.Random
import kotlin.time.TimeSource

/** Selects the endpoint with the lowest estimated wait. Confined to the event loop. */
internal class EndpointSelector(
    private val zone: AvailabilityZone,
    private val events: EventLog,
    private val timeSource: TimeSource,
    private val random: Random = Random.Default,
) {
    private val trackers = HashMap<EndpointId, EndpointTracker>()

    /** Null if speeds of engines are not measured; set before the first request. */
    var speeds: EngineSpeeds? = null

    fun tracker(id: EndpointId): EndpointTracker = trackers.getOrPut(id) { EndpointTracker(id, events, timeSource) }

    /** Removes the trackers of endpoints that are not in [known] and have no attempts in flight. */
    fun retain(known: Set<EndpointId>) {
        trackers.entries.removeIf { it.key !in known && it.value.isIdle }
    }

    /**
     * Candidates that are not currently avoided. If every one is avoided, those that may still be tried: all but the ones that
     * have just refused a run, because each further refusal would cost its request an attempt.
     */
    fun withoutAvoided(candidates: List<RoutedEndpoint>): List<RoutedEndpoint> =
        candidates
            .filterNot { tracker(it.id).health.isAvoided() }
            .ifEmpty { candidates.filterNot { tracker(it.id).health.hasRefusedRun() } }

    fun selectPlain(candidates: List<RoutedEndpoint>): EndpointChoice? = cheapest(candidates) { plainCost(it).totalMs }

    /** What [selectPlain] compares, apart from jitter. */
    fun plainCost(endpoint: RoutedEndpoint): EndpointCostParts = EndpointCost.plainParts(condition(endpoint, 0), PLAIN_SERVICE_TIME_MS)

    /** Selects an engine that runs the request, with the preferences of [fillOrder] and [speedCostMs] between engines. */
    fun selectDecode(
        candidates: List<RoutedEndpoint>,
        traits: CallTraits,
        profile: EngineProfile,
        fillOrder: FillOrder,
        speedCostMs: ((RoutedEndpoint) -> Double)? = null,
    ): EndpointChoice? =
        cheapest(candidates.filter { it.stage == EndpointStage.DECODE }) {
            decodeCost(it, traits, profile, fillOrder, speedCostMs).totalMs
        }

    /** What [selectDecode] compares, apart from jitter. */
    fun decodeCost(
        engine: RoutedEndpoint,
        traits: CallTraits,
        profile: EngineProfile,
        fillOrder: FillOrder,
        speedCostMs: ((RoutedEndpoint) -> Double)?,
    ): EndpointCostParts =
        engineCost(engine, traits, profile, DECODE_PREFILL_TOKENS_PER_MS)
            .copy(fillOrderMs = fillOrder.costMs(engine.id.value), speedMs = speedCostMs?.invoke(engine) ?: 0.0)

    /** False if an endpoint with [costMs] loses to one with [lowestMs] whatever the jitter. */
    fun canWin(
        costMs: Double,
        lowestMs: Double,
    ): Boolean = costMs < lowestMs * (1 + JITTER_SHARE) + JITTER_MS

    /** Selects an engine that reads the prompt and passes the KV cache on to [decodeEngine]. */
    fun selectPrefill(
        candidates: List<RoutedEndpoint>,
        traits: CallTraits,
        profile: EngineProfile,
        decodeEngine: RoutedEndpoint,
    ): EndpointChoice? {
        val engines = candidates.filter { it.stage == EndpointStage.PREFILL }
        val cost = { engine: RoutedEndpoint ->
            EndpointCost.kvTransferMs(engine.zone == decodeEngine.zone) + engineCost(engine, traits, profile, PREFILL_TOKENS_PER_MS).totalMs
        }
        return speeds?.let { selectBySpeed(engines, it, cost) } ?: cheapest(engines, cost)
    }

    /**
     * Selects one of the engines of about the lowest cost at random, in proportion to their speeds: the entries don't know what
     * the others have sent to an engine. Null if the engines are about equally fast.
     */
    private fun selectBySpeed(
        engines: List<RoutedEndpoint>,
        speeds: EngineSpeeds,
        costMs: (RoutedEndpoint) -> Double,
    ): EndpointChoice? {
        val choices = engines.map { EndpointChoice(it, costMs(it)) }
        val maxCostMs = (choices.minOfOrNull { it.costMs } ?: return null) * (1 + JITTER_SHARE) + JITTER_MS
        val cheap = choices.filter { it.costMs <= maxCostMs }
        val weights = cheap.map { 1 / (speeds.prefillFactor(it.endpoint) ?: return null) }
        var point = random.nextDouble(weights.sum())
        val index = weights.indexOfFirst { weight -> (point < weight).also { point -= weight } }
        return cheap.getOrElse(index) { cheap.last() }
    }

    private fun engineCost(
        engine: RoutedEndpoint,
        traits: CallTraits,
        profile: EngineProfile,
        prefillTokensPerMs: Double,
    ) = EndpointCost.engineParts(condition(engine, profile.kvCapacityTokens), traits.promptTokens, traits.kvTokens, prefillTokensPerMs)

    private inline fun cheapest(
        candidates: List<RoutedEndpoint>,
        cost: (RoutedEndpoint) -> Double,
    ): EndpointChoice? {
        var best: EndpointChoice? = null
        candidates.forEach { endpoint ->
            // Jitter keeps entries with the same view from all selecting the same endpoint.
            val jittered = cost(endpoint) * (1 + random.nextDouble(JITTER_SHARE)) + random.nextDouble(JITTER_MS)
            if (best == null || jittered < best!!.costMs) best = EndpointChoice(endpoint, jittered)
        }
        return best
    }

    /** What the cost of [endpoint] is computed from. */
    fun condition(
        endpoint: RoutedEndpoint,
        kvCapacityTokens: Int,
    ): EndpointCondition {
        val tracker = tracker(endpoint.id)
        return EndpointCondition(
            load = tracker.load,
            slots = endpoint.slots.coerceAtLeast(1),
            kvCapacityTokens = kvCapacityTokens,
            isSameZone = endpoint.zone == zone,
            isAvoided = tracker.health.isAvoided(),
            failureRate = tracker.health.failureRate(),
            latencyRatio = tracker.health.latencyRatio(),
            overdueMs = tracker.overdueMs,
        )
    }

    companion object {
        /** Typical service time of a request to a plain service; only ratios to it matter. */
        const val PLAIN_SERVICE_TIME_MS = 25.0

        /** Prefill rate of the platform's engines in the prefill stage. */
        const val PREFILL_TOKENS_PER_MS = 33.3

        /** Engines in the decode stage prefill at half the rate. */
        const val DECODE_PREFILL_TOKENS_PER_MS = 16.7
        const val JITTER_SHARE = 0.1
        const val JITTER_MS = 2.0
    }
}
