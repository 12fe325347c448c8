package io.knapweedferry.routing.fleet

import io.knapweedferry.api.ServiceName
import io.knapweedferry.policy.routing.StageBalance
import io.knapweedferry.routing.call.StageOrder
import io.knapweedferry.routing.call.UpstreamProtocol
import io.knapweedferry.routing.model.EndpointStage
import io.knapweedferry.routing.model.RoutedEndpoint
import io.knapweedferry.routing.model.RoutingView
import io.knapweedferry.routing.model.RoutingViewHolder
import io.knapweedferry.routing.pipeline.EndpointClient
import io.knapweedferry.telemetry.EventLog
import io.knapweedferry.telemetry.LogEvent
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Keeps the target number of engines in the prefill stage while engines join and leave. Only the holder of the stage lease
 * sends orders, but all entries avoid an engine that is changing its stage. An incarnation is ordered to each stage at most
 * once, and never away from prefill after it was ordered there, because engines that switch back and forth serve no
 * requests.
 */
internal class StageBalancer(
    private val lease: StageLease,
    private val views: RoutingViewHolder,
    private val client: EndpointClient,
    private val selector: EndpointSelector,
    private val protocol: UpstreamProtocol,
    private val demands: StageDemands,
    private val events: EventLog,
    private val timeSource: TimeSource = TimeSource.Monotonic,
) {
    /** Announced orders with the time at which this entry received them. */
    private val orders = HashMap<AnnouncedStageOrder, TimeMark>()
    private val shortageSince = HashMap<ServiceName, TimeMark>()

    /** Services that have had a prefill engine. In any other service, a shortage may only mean that the fleet is starting up. */
    private val servicesWithPrefill = HashSet<ServiceName>()
    private var lastMembers: Set<Pair<String, Long>> = emptySet()
    private var stableSince: TimeMark = timeSource.markNow()

    /** Applies announced orders and checks the number of prefill engines; called every [CHECK_INTERVAL_MS]. */
    suspend fun check() {
        applyAnnouncedOrders()
        checkServices(views.current)
    }

    private fun applyAnnouncedOrders() {
        val announced = lease.announced
        val engines = views.current.endpoints
        orders.keys.removeIf { it !in announced && engines[it.engine]?.startedAtMs != it.startedAtMs }
        announced.filterNot { it in orders }.forEach(::recordOrder)
    }

    private fun recordOrder(order: AnnouncedStageOrder) {
        orders[order] = timeSource.markNow()
        val engine = views.current.endpoints[order.engine] ?: return
        if (engine.startedAtMs == order.startedAtMs && engine.stage != order.stage) selector.tracker(order.engine).recordStageOrder()
    }

    private suspend fun checkServices(view: RoutingView) {
        trackMembership(view)
        view.endpoints.values
            .filter { it.stage != null && !it.isDraining && !client.isLeaving(it) }
            .groupBy { it.service }
            .forEach { (service, engines) -> balance(service, engines, view) }
    }

    private fun trackMembership(view: RoutingView) {
        val members =
            view.endpoints.values
                .filterNot { it.isDraining }
                .map { it.id.value to it.startedAtMs }
                .toSet()
        if (members != lastMembers || view.endpoints.values.any { it.isDraining }) stableSince = timeSource.markNow()
        lastMembers = members
    }

    private suspend fun balance(
        service: ServiceName,
        engines: List<RoutedEndpoint>,
        view: RoutingView,
    ) {
        val share = demands.of(service).prefillShare
        val prefill = engines.filter { effectiveStage(it) == EndpointStage.PREFILL }
        if (prefill.isNotEmpty()) servicesWithPrefill += service
        if (StageBalance.needsPrefillEngine(engines.size, prefill.size, share)) return resolveShortage(service, engines, view)
        shortageSince.remove(service)
        val surplus = prefill.size - StageBalance.targetPrefillEngines(engines.size, share)
        if (surplus <= 0 || stableSince.elapsedNow().inWholeMilliseconds < STABLE_FLEET_MS) return
        val movable = prefill.filterNot { engine -> orders.keys.any { it.concerns(engine) } }
        val byZone = movable.sortedBy { it.id.value }.groupBy { it.zone.value }
        StageBalance
            .surplusPrefillEngines(engines.size, share, byZone)
            .take(surplus)
            .forEach { sendOrder(it, EndpointStage.DECODE, view) }
    }

    /** Once a shortage has lasted for the grace period, orders one engine at a time to the prefill stage. */
    private suspend fun resolveShortage(
        service: ServiceName,
        engines: List<RoutedEndpoint>,
        view: RoutingView,
    ) {
        val since = shortageSince.getOrPut(service) { timeSource.markNow() }
        val isChanging = engines.any { it.stage != effectiveStage(it) }
        val graceMs = if (service in servicesWithPrefill) PREFILL_LOSS_GRACE_MS else STABLE_FLEET_MS
        if (isChanging || since.elapsedNow().inWholeMilliseconds < graceMs) return
        // The youngest engine has the least work to finish before it can change its stage.
        val engine =
            engines.filter { it.stage == EndpointStage.DECODE && !wasOrderedToOtherStage(it) }.maxByOrNull { it.startedAtMs } ?: return
        sendOrder(engine, EndpointStage.PREFILL, view)
    }

    /** Stage that an engine is changing to, or else its current stage. */
    private fun effectiveStage(engine: RoutedEndpoint): EndpointStage? =
        orders.entries
            .filter { (order, since) -> order.concerns(engine) && since.elapsedNow().inWholeMilliseconds < STAGE_CHANGE_TIMEOUT_MS }
            .minByOrNull { it.value.elapsedNow() }
            ?.key
            ?.stage ?: engine.stage

    private fun wasOrderedToOtherStage(engine: RoutedEndpoint) = orders.keys.any { it.concerns(engine) && it.stage != engine.stage }

    private fun AnnouncedStageOrder.concerns(other: RoutedEndpoint) = engine == other.id && startedAtMs == other.startedAtMs

    private suspend fun sendOrder(
        engine: RoutedEndpoint,
        stage: EndpointStage,
        view: RoutingView,
    ) {
        if (!lease.isHeld) return
        val order = AnnouncedStageOrder(engine.id, engine.startedAtMs, stage)
        val grant = lease.announce(order) ?: return
        recordOrder(order)
        val request = protocol.orderStage(StageOrder(engine.id, stage, grant.holder, grant.fencingToken))
        val status = client.sendControl(engine, request, ORDER_TIMEOUT_MS, grant.isValid).fold({ it.detail }, { it.status.toString() })
        val fields = arrayOf("endpoint" to engine.id.value, "stage" to stage, "fence" to grant.fencingToken)
        events.write(LogEvent.ORDER_SENT, *fields, "fleet_version" to view.fleetVersion, "result" to status)
    }

    companion object {
        const val CHECK_INTERVAL_MS = 500L

        /** The fleet is stable after this time without a change; while it starts up or is replaced, changes come more often. */
        private const val STABLE_FLEET_MS = 3_000L

        /** An engine that is replaced by one of the same stage is missing for less than this. */
        private const val PREFILL_LOSS_GRACE_MS = 1_000L

        /** An engine finishes its runs and changes its stage within about 9 s; an order without a response may arrive up to 12 s late. */
        private const val STAGE_CHANGE_TIMEOUT_MS = 20_000L
        private const val ORDER_TIMEOUT_MS = 1_000L
    }
}
