package io.knapweedferry.routing.explain

import io.knapweedferry.api.placement.EndpointPlacement
import io.knapweedferry.policy.routing.EndpointCostParts
import io.knapweedferry.routing.fleet.EndpointExclusion
import io.knapweedferry.routing.fleet.EndpointSelector
import io.knapweedferry.routing.fleet.ServiceAvailability
import io.knapweedferry.routing.model.EndpointStage
import io.knapweedferry.routing.model.RoutedEndpoint
import io.knapweedferry.routing.model.RoutingView
import io.knapweedferry.routing.pipeline.ForwardingJob
import kotlin.math.roundToLong

/** Lists the endpoints of a service with the costs that the selection compares. */
internal class EndpointRanking(
    private val selector: EndpointSelector,
    private val services: ServiceAvailability,
) {
    /** Endpoints for the request of [job]: candidates by rising cost, then the others. [queue] is null for a plain service. */
    fun rank(
        view: RoutingView,
        job: ForwardingJob,
        queue: EngineQueueCheck?,
    ): List<EndpointPlacement> {
        val endpoints = view.serving(job.service.name) + view.draining(job.service.name)
        val (candidates, others) = endpoints.map { rate(it, job, queue) }.partition { it.exclusion == null }
        val sorted = candidates.sortedBy { it.cost?.totalMs }
        val lowestMs = sorted.firstOrNull()?.cost?.totalMs ?: 0.0
        return (sorted + others.sortedBy { it.endpoint.id.value }).map { it.toReport(lowestMs) }
    }

    private fun rate(
        endpoint: RoutedEndpoint,
        job: ForwardingJob,
        queue: EngineQueueCheck?,
    ): Rated {
        val engine = job.service.engine
        if (engine == null || queue == null) return Rated(endpoint, services.exclusion(endpoint), selector.plainCost(endpoint))
        val isOtherStage = endpoint.stage != EndpointStage.DECODE
        val stageExclusion = if (isOtherStage) EndpointExclusion.OTHER_STAGE else null
        val exclusion = services.exclusion(endpoint) ?: stageExclusion ?: queue.preview.exclusions[endpoint.id]
        val ticket = queue.ticket
        val cost =
            if (isOtherStage) null else selector.decodeCost(endpoint, job.call.traits, engine, ticket.fillOrder, ticket.speedCost(selector))
        return Rated(endpoint, exclusion, cost)
    }

    private inner class Rated(
        val endpoint: RoutedEndpoint,
        val exclusion: EndpointExclusion?,
        val cost: EndpointCostParts?,
    ) {
        fun toReport(lowestMs: Double): EndpointPlacement {
            val condition = selector.condition(endpoint, kvCapacityTokens = 0)
            return EndpointPlacement(
                endpoint = endpoint.id,
                zone = endpoint.zone,
                stage = endpoint.stage?.name?.lowercase(),
                excluded = exclusion?.name?.lowercase(),
                canWin = exclusion == null && cost != null && selector.canWin(cost.totalMs, lowestMs),
                costMs = cost?.let { rounded(it.totalMs) },
                costsMs = cost?.let(::byCause).orEmpty(),
                ownRequests = condition.load.requests.toInt(),
                ownKvTokens = condition.load.kvTokens.toInt(),
                isAvoided = condition.isAvoided,
                failureRate = rounded(condition.failureRate),
                latencyRatio = rounded(condition.latencyRatio),
            )
        }
    }

    private fun byCause(cost: EndpointCostParts): Map<String, Double> =
        mapOf(
            "service" to cost.serviceMs,
            "prefill" to cost.prefillMs,
            "batch" to cost.batchMs,
            "kv_wait" to cost.kvWaitMs,
            "zone" to cost.zoneMs,
            "avoided" to cost.avoidedMs,
            "failures" to cost.failureMs,
            "overdue" to cost.overdueMs,
            "fill_order" to cost.fillOrderMs,
            "speed" to cost.speedMs,
        ).mapValues { rounded(it.value) }.filterValues { it != 0.0 }

    private fun rounded(value: Double): Double = (value * ROUNDING).roundToLong() / ROUNDING

    private companion object {
        /** Two decimals. */
        const val ROUNDING = 100.0
    }
}
