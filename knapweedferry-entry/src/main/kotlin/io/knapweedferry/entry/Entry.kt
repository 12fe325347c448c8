package io.knapweedferry.entry

import io.knapweedferry.api.Incarnation
import io.knapweedferry.config.settings.EntrySettings
import io.knapweedferry.config.stream.ConfigFollower
import io.knapweedferry.config.stream.FollowerSettings
import io.knapweedferry.entry.claim.LogClaimService
import io.knapweedferry.entry.fleet.FleetView
import io.knapweedferry.entry.http.RouteGroup
import io.knapweedferry.entry.observe.AuditExplainer
import io.knapweedferry.entry.observe.FollowerEventLogger
import io.knapweedferry.entry.observe.RequestObserverFactory
import io.knapweedferry.entry.operator.OperatorContext
import io.knapweedferry.entry.operator.OperatorRoutes
import io.knapweedferry.platform.http.HttpTransport
import io.knapweedferry.platform.instance.HttpInstanceList
import io.knapweedferry.platform.log.HttpAppendLog
import io.knapweedferry.platform.weight.HttpWeightStore
import io.knapweedferry.policy.placement.EndpointSubset
import io.knapweedferry.session.ConfigPuller
import io.knapweedferry.session.SessionKey
import io.knapweedferry.session.SessionSettings
import io.knapweedferry.session.Sessions
import io.knapweedferry.telemetry.AuditReader
import io.knapweedferry.telemetry.AuditTrail
import io.knapweedferry.telemetry.AuditTrailSettings
import io.knapweedferry.telemetry.EventLog
import io.knapweedferry.telemetry.LogEvent
import io.knapweedferry.telemetry.RouterMetrics
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** An entry process. Serves HTTP to callers and operators, and forwards requests to sidecars over sessions. */
public class Entry(
    private val settings: EntrySettings,
    sessionKey: SessionKey,
    incarnation: Incarnation,
    private val events: EventLog,
) {
    private val scope =
        CoroutineScope(
            SupervisorJob() + Dispatchers.Default +
                CoroutineExceptionHandler { _, error -> events.write(LogEvent.UNCAUGHT_ERROR, "detail" to error.toString()) },
        )
    private val metrics = RouterMetrics()
    private val transport = HttpTransport()
    private val log = HttpAppendLog(transport, settings.platform.logUrl, settings.platform.timeoutMs)
    private val instances = HttpInstanceList(transport, settings.platform.instanceListUrl, settings.platform.timeoutMs)
    private val sessions =
        Sessions.client(
            SessionSettings(
                processId = settings.process.id,
                key = sessionKey,
                heartbeatIntervalMs = settings.session.heartbeatIntervalMs,
                heartbeatTimeoutMs = settings.session.heartbeatTimeoutMs,
                maxFrameBytes = settings.session.maxFrameBytes,
                connectTimeoutMs = settings.session.connectTimeoutMs,
            ),
        )
    private val follower: ConfigFollower =
        ConfigFollower(
            log = log,
            peerClient = { newerThan -> ConfigPuller(sessions, { fleet.addresses() }).pull(newerThan) },
            settings =
                FollowerSettings(
                    settings.process.id,
                    pollWaitMs = settings.platform.pollWaitMs,
                    timeoutMs = settings.platform.timeoutMs,
                ),
            listener = FollowerEventLogger(events),
        )
    private val fleet: FleetView =
        FleetView(
            instances,
            follower,
            settings.platform.instancePollMs,
            EndpointSubset(settings.process.id, settings.placement.subsetSize),
        )
    private val audit =
        AuditTrail(
            log,
            settings.process.id,
            incarnation,
            AuditTrailSettings(bytesPerSecond = settings.audit.bytesPerSecond.toInt()),
            metrics,
            events,
        )
    private val claims = LogClaimService(settings.claims, log, settings.process.id, scope)
    private val components =
        EntryComponents(
            settings = settings,
            connections = EntryConnections(scope, sessions, follower, fleet, claims),
            observerFactory = RequestObserverFactory(audit, metrics, events, TimeSource.Monotonic),
            metrics = metrics,
            operatorRoutes = operatorRoutes(),
            events = events,
        )
    private val server = components.server()

    public val requestsInFlight: Int get() = components.inFlightLimit.inFlight

    /** Starts the server and the background tasks; returns once the port is bound. */
    public fun start() {
        scope.launch { follower.run() }
        scope.launch { fleet.poll() }
        scope.launch { fleet.refreshOn(follower.states) }
        scope.launch { audit.run() }
        claims.start()
        server.start()
        events.write(LogEvent.HTTP_LISTENING, "address" to settings.http.address)
        scope.launch { reportReady() }
    }

    /** Refuses new requests and waits for those in flight. Returns false if some are still in flight after [timeoutMs]. */
    public suspend fun drain(timeoutMs: Long): Boolean {
        components.inFlightLimit.close()
        val drained =
            withTimeoutOrNull(timeoutMs.milliseconds) {
                while (requestsInFlight > 0) delay(POLL_INTERVAL_MS.milliseconds)
                true
            }
        return drained ?: false
    }

    /** Flushes the audit trail and stops without waiting for requests in flight; call [drain] first to let them finish. */
    public suspend fun stop() {
        audit.flush(AUDIT_FLUSH_TIMEOUT_MS)
        server.stop()
        scope.cancel()
        sessions.close()
        transport.close()
    }

    private fun operatorRoutes(): RouteGroup {
        val weights = HttpWeightStore(transport, settings.platform.weightStoreUrl, settings.platform.timeoutMs)
        val context = OperatorContext(settings.process.id, follower, log, instances, weights)
        val routes = OperatorRoutes(context, settings.operators, AuditExplainer(AuditReader(log)))
        return RouteGroup { routes.register(it) }
    }

    private suspend fun reportReady() {
        while (follower.current() == null) delay(POLL_INTERVAL_MS.milliseconds)
        events.write(LogEvent.PROCESS_READY)
    }

    private companion object {
        const val POLL_INTERVAL_MS = 20L
        const val AUDIT_FLUSH_TIMEOUT_MS = 1_000L
    }
}
