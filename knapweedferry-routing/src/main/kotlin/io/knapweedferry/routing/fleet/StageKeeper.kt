package io.knapweedferry.routing.fleet

import io.knapweedferry.api.EndpointId
import io.knapweedferry.policy.routing.StageBalance
import io.knapweedferry.routing.call.CallDialect
import io.knapweedferry.routing.call.StageOrder
import io.knapweedferry.routing.model.EndpointStage
import io.knapweedferry.routing.model.RoutedEndpoint
import io.knapweedferry.routing.model.RoutingView
import io.knapweedferry.routing.model.RoutingViewHolder
import io.knapweedferry.routing.pipeline.Attempts
import io.knapweedferry.telemetry.EventLog
import io.knapweedferry.telemetry.LogEvent
import kotlinx.coroutines.delay
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Moves engines from the prefill to the decode stage where the deployment starts more of them than its requests need. Only
 * the one entry that holds this duty runs it, so that an engine never gets orders from two holders. An engine is ordered
 * once per incarnation: an order without an answer may still be carried out.
 */
internal class StageKeeper(
    private val duty: StageDuty,
    private val views: RoutingViewHolder,
    private val attempts: Attempts,
    private val dialect: CallDialect,
    private val events: EventLog,
    private val timeSource: TimeSource = TimeSource.Monotonic,
) {
    private val ordered = HashSet<Pair<EndpointId, Long>>()
    private var seen: Set<Pair<EndpointId, Long>> = emptySet()
    private var unchangedSince: TimeMark = timeSource.markNow()

    /** Checks the balance until cancelled. */
    suspend fun run() {
        while (true) {
            delay(CHECK_MS)
            check(views.current)
        }
    }

    private suspend fun check(view: RoutingView) {
        val now =
            view.endpoints.values
                .filterNot { it.isLeaving }
                .map { it.id to it.bornMs }
                .toSet()
        if (now != seen || view.endpoints.values.any { it.isLeaving }) {
            seen = now
            unchangedSince = timeSource.markNow()
        }
        if (unchangedSince.elapsedNow().inWholeMilliseconds < UNCHANGED_MS) return
        view.endpoints.values
            .filter { it.stage != null && !it.isLeaving }
            .groupBy { it.service }
            .values
            .forEach { balance(it, view) }
    }

    private suspend fun balance(
        engines: List<RoutedEndpoint>,
        view: RoutingView,
    ) {
        val prefill =
            engines
                .filter { it.stage == EndpointStage.PREFILL && (it.id to it.bornMs) !in ordered }
                .sortedBy { it.id.value }
                .groupBy { it.zone.value }
        StageBalance.surplus(engines.size, prefill).forEach { order(it, view) }
    }

    private suspend fun order(
        engine: RoutedEndpoint,
        view: RoutingView,
    ) {
        ordered += engine.id to engine.bornMs
        val request = dialect.orderStage(StageOrder(engine.id, EndpointStage.DECODE, duty.holder, duty.fence))
        val status = attempts.control(engine, request, ORDER_TIMEOUT_MS).fold({ it.detail }, { it.status.toString() })
        val fields = arrayOf("endpoint" to engine.id.value, "stage" to EndpointStage.DECODE, "fence" to duty.fence)
        events.write(LogEvent.ORDER_SENT, *fields, "fleet_version" to view.fleetVersion, "result" to status)
    }

    private companion object {
        const val CHECK_MS = 500L

        /** A fleet that starts or is replaced changes its list more often than this. */
        const val UNCHANGED_MS = 3_000L
        const val ORDER_TIMEOUT_MS = 1_000L
    }
}
