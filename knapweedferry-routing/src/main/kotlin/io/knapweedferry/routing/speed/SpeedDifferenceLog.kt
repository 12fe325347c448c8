package io.knapweedferry.routing.speed

import io.knapweedferry.api.ServiceName
import io.knapweedferry.policy.quarantine.EngineIncarnation
import io.knapweedferry.policy.speed.SpeedFactors
import io.knapweedferry.policy.speed.SpeedLedger
import io.knapweedferry.routing.model.EndpointStage
import io.knapweedferry.routing.model.RoutingViewHolder
import io.knapweedferry.telemetry.EventLog
import io.knapweedferry.telemetry.LogEvent

/** Logs, once for each stage of a service, that its engines differ in speed. Confined to the event loop. */
internal class SpeedDifferenceLog(
    private val ledger: SpeedLedger,
    private val views: RoutingViewHolder,
    private val events: EventLog,
) {
    private val logged = HashSet<Pair<ServiceName, EndpointStage>>()

    fun check() =
        views.current.endpoints.values.groupBy { it.service to it.stage }.forEach { (group, endpoints) ->
            val (service, stage) = group
            if (stage == null || (service to stage) in logged) return@forEach
            val engines = endpoints.map { EngineIncarnation(it.id, it.startedAtMs) }
            factors(stage, engines)?.let { write(service, stage, engines.size, it) }
        }

    private fun factors(
        stage: EndpointStage,
        engines: List<EngineIncarnation>,
    ): SpeedFactors? =
        when (stage) {
            EndpointStage.PREFILL -> ledger.prefillFactors(engines)
            EndpointStage.DECODE -> ledger.decodeFactors(engines)
        }

    private fun write(
        service: ServiceName,
        stage: EndpointStage,
        engines: Int,
        factors: SpeedFactors,
    ) {
        logged += service to stage
        events.write(
            LogEvent.ENGINE_SPEEDS_DIFFER,
            "service" to service.value,
            "stage" to stage,
            "engines" to engines,
            "typical_us" to factors.typicalUs.toLong(),
            "fastest_percent" to (factors.range.start * PERCENT).toInt(),
            "slowest_percent" to (factors.range.endInclusive * PERCENT).toInt(),
        )
    }

    private companion object {
        const val PERCENT = 100
    }
}
