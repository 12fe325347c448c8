package io.knapweedferry.routing

import io.knapweedferry.api.ServiceName
import io.knapweedferry.api.placement.PlacementRequest
import io.knapweedferry.policy.quota.QuotaLedger
import io.knapweedferry.policy.quota.SuspensionAwareTimeSource
import io.knapweedferry.policy.speed.SpeedLedger
import io.knapweedferry.routing.call.UpstreamProtocol
import io.knapweedferry.routing.explain.ExplainHandler
import io.knapweedferry.routing.explain.ExplainedJobs
import io.knapweedferry.routing.explain.PlacementExplainer
import io.knapweedferry.routing.fleet.CrashReportExchange
import io.knapweedferry.routing.fleet.EndpointAvailability
import io.knapweedferry.routing.fleet.EndpointSelector
import io.knapweedferry.routing.fleet.EngineSpeeds
import io.knapweedferry.routing.fleet.RetryBudgets
import io.knapweedferry.routing.fleet.ServiceAvailability
import io.knapweedferry.routing.fleet.StageBalancer
import io.knapweedferry.routing.fleet.StageDemands
import io.knapweedferry.routing.fleet.StageLease
import io.knapweedferry.routing.fleet.SurplusResponses
import io.knapweedferry.routing.http.CallerListener
import io.knapweedferry.routing.model.RoutingViewHolder
import io.knapweedferry.routing.ops.OperationsServer
import io.knapweedferry.routing.organisation.OrganisationAccess
import io.knapweedferry.routing.pipeline.AdmissionController
import io.knapweedferry.routing.pipeline.AdmissionOrder
import io.knapweedferry.routing.pipeline.CallPipeline
import io.knapweedferry.routing.pipeline.CallRecorder
import io.knapweedferry.routing.pipeline.CostOrder
import io.knapweedferry.routing.pipeline.CostRefusalLog
import io.knapweedferry.routing.pipeline.EndpointClient
import io.knapweedferry.routing.pipeline.EngineReservations
import io.knapweedferry.routing.pipeline.Forwarders
import io.knapweedferry.routing.pipeline.OrganisationChecks
import io.knapweedferry.routing.pipeline.PlainForwarder
import io.knapweedferry.routing.pipeline.PrefillRunner
import io.knapweedferry.routing.pipeline.PriorityOrder
import io.knapweedferry.routing.pipeline.PromptGuard
import io.knapweedferry.routing.pipeline.QuotaCheck
import io.knapweedferry.routing.pipeline.StreamForwarder
import io.knapweedferry.routing.pipeline.StreamPlacements
import io.knapweedferry.routing.quota.QuotaExchange
import io.knapweedferry.routing.quota.QuotaGate
import io.knapweedferry.routing.quota.QuotaReporter
import io.knapweedferry.routing.quota.QuotaSettings
import io.knapweedferry.routing.speed.SpeedDifferenceLog
import io.knapweedferry.routing.speed.SpeedExchange
import io.knapweedferry.routing.speed.SpeedReporter
import io.knapweedferry.routing.upstream.EndpointPool
import io.knapweedferry.telemetry.EventLog
import io.knapweedferry.telemetry.LogEvent
import io.knapweedferry.telemetry.RoutingMetrics
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.future
import kotlinx.coroutines.launch
import kotlinx.coroutines.supervisorScope
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.TimeUnit
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Entry of the platform: a reverse proxy that routes requests by host and path to endpoints. Requests run on one event loop,
 * which owns all mutable state; listeners for configuration and instances publish views from their own threads.
 */
public class RoutedEntry(
    private val settings: RoutedEntrySettings,
    private val protocol: UpstreamProtocol,
    private val views: RoutingViewHolder,
    private val events: EventLog,
    private val metrics: RoutingMetrics,
    /** Encoded state of this entry, served to other entries; null while there is none. */
    peerState: () -> ByteArray?,
) {
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next().asCoroutineDispatcher()
    private val exceptionHandler =
        CoroutineExceptionHandler { _, cause -> events.write(LogEvent.UNCAUGHT_ERROR, "detail" to cause.stackTraceToString()) }
    private val scope = CoroutineScope(SupervisorJob() + loop + exceptionHandler)
    private val availability = EndpointAvailability(events, metrics)
    private val services = ServiceAvailability(views, availability)
    private val pool = EndpointPool(group, protocol, availability, SurplusResponses(events, metrics))
    private val selector = EndpointSelector(settings.zone, events, TimeSource.Monotonic)
    private val retryBudgets = RetryBudgets(settings.forwarding.retryPercent, settings.forwarding.retryBurst)
    private val stageDemands = StageDemands()
    private val recorder = CallRecorder(events, metrics)
    private val client = EndpointClient(pool, selector, protocol, availability, scope)
    private val promptGuard = PromptGuard(recorder, events)
    private val quotas = QuotaCheck(organisationOf = { it.organisation })
    private val checks = OrganisationChecks(OrganisationAccess(settings.revocationLimitMs, events), quotas)
    private val admissions = createAdmissions()
    private val pipeline = createPipeline()
    private val explainer =
        PlacementExplainer(checks, services, selector, admissions, ExplainedJobs(protocol, recorder, pipeline.stop))
    private val listener = CallerListener(group, scope, pipeline, protocol, views, events, metrics)
    private val operations = OperationsServer(settings, ::isReady, metrics::scrape, peerState, ExplainHandler(::explain))

    @Volatile
    private var isStopping = false

    private fun isReady() = !isStopping && views.current.isComplete

    private fun createPipeline(): CallPipeline {
        val plain = PlainForwarder(client, selector, retryBudgets, services, protocol, recorder, settings.forwarding)
        val prefill = PrefillRunner(client, selector, retryBudgets, protocol, settings.forwarding)
        val placements = StreamPlacements(admissions, prefill, selector, services, settings.forwarding)
        val stream = StreamForwarder(client, placements, selector, retryBudgets, protocol, promptGuard, settings.forwarding)
        return CallPipeline(views, Forwarders(plain, stream), retryBudgets, services, protocol, recorder, checks)
    }

    private fun createAdmissions(): AdmissionController {
        val reservations = EngineReservations(client, selector, protocol, metrics)
        return AdmissionController(reservations, selector, services, stageDemands, scope, metrics, newOrder = ::newAdmissionOrder)
    }

    /** The evaluation is cancelled if the returned future is completed before. */
    private fun explain(request: PlacementRequest) = scope.future { explainer.explain(views.current, request) }

    private fun newAdmissionOrder(service: ServiceName): AdmissionOrder {
        if (!settings.admitsByCost) return PriorityOrder(TimeSource.Monotonic)
        return CostOrder(CostRefusalLog(service, events, metrics, TimeSource.Monotonic), TimeSource.Monotonic)
    }

    /** Starts the listeners for callers and operators. */
    public fun start() {
        listener.start(settings.callerAddress)
        operations.start()
        scope.launch { repeatGuarded(PRUNE_INTERVAL_MS) { pruneEndpoints() } }
    }

    /** Starts balancing engines between the stages; this instance sends stage orders only while it holds [lease]. */
    public fun startStageBalancing(lease: StageLease) {
        val balancer = StageBalancer(lease, views, client, selector, protocol, stageDemands, events)
        scope.launch { repeatGuarded(StageBalancer.CHECK_INTERVAL_MS) { balancer.check() } }
    }

    /** Shares crashes of engines with the other instances; called before [start]. */
    public fun shareCrashReports(exchange: CrashReportExchange) {
        promptGuard.publish = exchange::publish
        exchange.subscribe { report -> scope.launch { promptGuard.record(report) } }
    }

    /** Applies the quotas of organisations together with the other instances; called before [start]. */
    public fun shareQuotas(
        exchange: QuotaExchange,
        quota: QuotaSettings,
    ) {
        val time = SuspensionAwareTimeSource({ TimeUnit.NANOSECONDS.toMillis(System.nanoTime()) }, System::currentTimeMillis)
        val ledger = QuotaLedger(exchange.node, System.currentTimeMillis(), quota.silenceLimitMs, time)
        val gate = QuotaGate(ledger, views, events, metrics.quota)
        val reporter = QuotaReporter(ledger, exchange, scope)
        quotas.gate = gate
        scope.launch {
            repeatGuarded(QuotaReporter.CHECK_INTERVAL_MS) {
                gate.check()
                reporter.check()
            }
        }
    }

    /** Places requests by the speeds of engines, which this and the other instances measure; called before [start]. */
    public fun shareSpeeds(exchange: SpeedExchange) {
        val ledger = SpeedLedger(exchange.node, TimeSource.Monotonic)
        val reporter = SpeedReporter(ledger, exchange, views, scope)
        val differences = SpeedDifferenceLog(ledger, views, events)
        val speeds = EngineSpeeds(ledger)
        selector.speeds = speeds
        scope.launch {
            repeatGuarded(SpeedReporter.CHECK_INTERVAL_MS) {
                reporter.check()
                speeds.refresh(views.current.endpoints.values)
                differences.check()
            }
        }
    }

    /** Runs [action] periodically until cancelled. An error is logged and ends one round only. */
    private suspend fun repeatGuarded(
        intervalMs: Long,
        action: suspend () -> Unit,
    ) {
        while (true) {
            delay(intervalMs)
            supervisorScope { launch(exceptionHandler) { action() } }
        }
    }

    /** Drops connections and state of endpoints that have left the fleet, and ends pauses that no request asked about. */
    private fun pruneEndpoints() {
        val known = views.current.endpoints.keys
        views.current.endpoints.values
            .forEach(availability::remainingPauseMs)
        pool.retain(known)
        selector.retain(known)
    }

    /** Reports not ready, still serves new requests, and waits until all have completed; false if the drain timeout expired first. */
    public suspend fun drain(): Boolean {
        isStopping = true
        val endsAt = TimeSource.Monotonic.markNow() + (settings.drainTimeoutMs - ANSWER_MARGIN_MS).milliseconds
        listener.beginStopping()
        val drained =
            withTimeoutOrNull(settings.drainTimeoutMs) {
                withContext(loop) {
                    pipeline.stop.begin(endsAt)
                    val ending = launch { endUnansweredAt(endsAt) }
                    delay(settings.deregistrationDelayMs)
                    awaitIdle()
                    ending.cancel()
                }
            }
        return drained != null
    }

    private suspend fun endUnansweredAt(end: ComparableTimeMark) {
        delay(-end.elapsedNow())
        pipeline.endUnanswered()
    }

    /**
     * Serves what callers still send until the model requests in progress have ended: the platform may go on using an entry
     * that is not ready. Requests that might outlast this process are refused as not run. Then stops accepting, and serves the
     * connections that were accepted.
     */
    private suspend fun awaitIdle() {
        pipeline.stop.stopAcceptingLongRequests()
        listener.closeIdle()
        while (pipeline.runningModelRequests > 0) delay(DRAIN_POLL_INTERVAL_MS)
        listener.stopAccepting()
        while (listener.connectionsInUse > 0) {
            delay(DRAIN_POLL_INTERVAL_MS)
            listener.closeIdle()
        }
    }

    /** Stops immediately, without waiting for requests in progress. */
    public fun stop() {
        operations.stop()
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val PRUNE_INTERVAL_MS = 500L
        const val DRAIN_POLL_INTERVAL_MS = 20L

        /** Time for the last answers to reach their callers. */
        const val ANSWER_MARGIN_MS = 200L
    }
}
