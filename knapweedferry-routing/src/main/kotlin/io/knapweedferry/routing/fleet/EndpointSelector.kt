package io.knapweedferry.routing.fleet

import io.knapweedferry.api.AvailabilityZone
import io.knapweedferry.api.EndpointId
import io.knapweedferry.policy.routing.EndpointCondition
import io.knapweedferry.policy.routing.EndpointCost
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

    fun tracker(id: EndpointId): EndpointTracker = trackers.getOrPut(id) { EndpointTracker(id, events, timeSource) }

    /** Removes the trackers of endpoints that are not in [known] and have no attempts in flight. */
    fun retain(known: Set<EndpointId>) {
        trackers.entries.removeIf { it.key !in known && it.value.isIdle }
    }

    /** Candidates that are not currently avoided, or all of them if every one is avoided. */
    fun withoutAvoided(candidates: List<RoutedEndpoint>): List<RoutedEndpoint> =
        candidates.filterNot { tracker(it.id).health.isAvoided() }.ifEmpty { candidates }

    fun selectPlain(candidates: List<RoutedEndpoint>): EndpointChoice? =
        cheapest(candidates) { EndpointCost.plain(condition(it, 0), PLAIN_SERVICE_TIME_MS) }

    /** Selects an engine of [stage]. [fillOrder] adds a preference between engines; null adds none. */
    fun selectEngine(
        candidates: List<RoutedEndpoint>,
        stage: EndpointStage,
        traits: CallTraits,
        profile: EngineProfile,
        fillOrder: FillOrder?,
    ): EndpointChoice? {
        val tokensPerMs = if (stage == EndpointStage.PREFILL) PREFILL_TOKENS_PER_MS else DECODE_PREFILL_TOKENS_PER_MS
        return cheapest(candidates.filter { it.stage == stage }) {
            val fillOrderMs = fillOrder?.costMs(it.id.value) ?: 0.0
            fillOrderMs + EndpointCost.engine(condition(it, profile.kvCapacityTokens), traits.promptTokens, traits.kvTokens, tokensPerMs)
        }
    }

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

    private fun condition(
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
        private const val JITTER_SHARE = 0.1
        private const val JITTER_MS = 2.0
    }
}
