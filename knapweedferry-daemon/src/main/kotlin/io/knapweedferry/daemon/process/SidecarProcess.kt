package io.knapweedferry.daemon.process

import io.knapweedferry.api.ClaimRef
import io.knapweedferry.api.ProcessId
import io.knapweedferry.config.settings.EndpointKindName
import io.knapweedferry.config.settings.EndpointSettings
import io.knapweedferry.config.settings.GatePolicyName
import io.knapweedferry.config.settings.SidecarSettings
import io.knapweedferry.config.stream.ConfigFollower
import io.knapweedferry.config.stream.FollowerSettings
import io.knapweedferry.config.stream.RecordAppender
import io.knapweedferry.entry.observe.FollowerEventLogger
import io.knapweedferry.platform.engine.HttpEngine
import io.knapweedferry.platform.http.HttpTransport
import io.knapweedferry.platform.instance.HttpInstanceList
import io.knapweedferry.platform.instance.InstanceState
import io.knapweedferry.platform.instance.ListedInstance
import io.knapweedferry.platform.log.HttpAppendLog
import io.knapweedferry.platform.service.HttpService
import io.knapweedferry.policy.admission.AdmissionGate
import io.knapweedferry.policy.admission.FifoGate
import io.knapweedferry.policy.admission.GateLimits
import io.knapweedferry.policy.admission.RankedGate
import io.knapweedferry.policy.admission.RankedGateSettings
import io.knapweedferry.policy.claim.ClaimRecord
import io.knapweedferry.session.ConfigPuller
import io.knapweedferry.session.SessionKey
import io.knapweedferry.session.SessionServer
import io.knapweedferry.session.SessionSettings
import io.knapweedferry.session.Sessions
import io.knapweedferry.sidecar.orders.ConfigRefresh
import io.knapweedferry.sidecar.orders.SidecarReconciler
import io.knapweedferry.sidecar.server.ClaimVoider
import io.knapweedferry.sidecar.server.EndpointDefinition
import io.knapweedferry.sidecar.server.Sidecar
import io.knapweedferry.telemetry.EventLog
import io.knapweedferry.telemetry.LogEvent
import io.knapweedferry.telemetry.RouterMetrics
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.distinctUntilChanged
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.mapNotNull
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration.Companion.milliseconds
import io.knapweedferry.sidecar.server.SidecarSettings as ServerSettings

/** Sidecar daemon: accepts sessions from entries and forwards their requests to the engines and services of its instance. */
internal class SidecarProcess(
    private val settings: SidecarSettings,
    key: SessionKey,
    private val events: EventLog,
) : DaemonProcess {
    private val scope =
        CoroutineScope(
            SupervisorJob() + Dispatchers.Default +
                CoroutineExceptionHandler { _, error -> events.write(LogEvent.UNCAUGHT_ERROR, "detail" to error.toString()) },
        )
    private val metrics = RouterMetrics()
    private val transport = HttpTransport()
    private val log = HttpAppendLog(transport, settings.platform.logUrl, settings.platform.timeoutMs)
    private val instances = HttpInstanceList(transport, settings.platform.instanceListUrl, settings.platform.timeoutMs)
    private val sessionSettings =
        SessionSettings(
            processId = settings.process.id,
            key = key,
            heartbeatIntervalMs = settings.session.heartbeatIntervalMs,
            heartbeatTimeoutMs = settings.session.heartbeatTimeoutMs,
            maxFrameBytes = settings.session.maxFrameBytes,
            connectTimeoutMs = settings.session.connectTimeoutMs,
        )
    private val sessions = Sessions.client(sessionSettings)

    @Volatile
    private var peers: List<String> = emptyList()
    private val follower =
        ConfigFollower(
            log = log,
            peerClient = { newerThan -> ConfigPuller(sessions, { peers }).pull(newerThan) },
            settings =
                FollowerSettings(
                    settings.process.id,
                    pollWaitMs = settings.platform.pollWaitMs,
                    timeoutMs = settings.platform.timeoutMs,
                    appendsSnapshots = false,
                ),
            listener = FollowerEventLogger(events),
        )
    private val serverSettings =
        ServerSettings(
            processId = settings.process.id,
            incarnation = Incarnations.random(),
            leaseMs = settings.gate.leaseMs,
            graceMs = settings.gate.graceMs,
            outcomeRetentionMs = settings.gate.outcomeKeepMs,
        )
    private val sidecar =
        Sidecar(
            settings = serverSettings,
            definitions = settings.endpoints.map(::endpointDefinition),
            gates = ::createGate,
            config = follower,
            voider = ClaimVoider(::appendVoid),
            scope = scope,
            counters = SidecarMetricsRecorder(metrics),
            configOffers = follower::offer,
        )
    private val reconciler =
        SidecarReconciler(
            sidecar = sidecar,
            refresh = ConfigRefresh { follower.states.first { follower.current() != null } != null },
            reporter = PlanStepReporter(follower, RecordAppender(log), settings.process.id),
            targets = { EndpointTargetConfig(follower, it) },
        )
    private var server: SessionServer? = null
    private val leaveStarted = AtomicBoolean()
    private val httpServer = settings.http.address?.let { SidecarHttpServer(it, { follower.current() != null }, metrics::scrape) }

    override val processId: String get() = settings.process.id.value

    override val drainTimeoutMs: Long get() = settings.shutdown.drainTimeoutMs

    override val requestsInFlight: Int get() = sidecar.inProgress

    override suspend fun start() {
        // Binds the port first, so that a second sidecar on this instance fails before it sends requests to an engine.
        server = Sessions.server(sessionSettings, sidecar, settings.session.address)
        scope.launch { follower.run() }
        scope.launch { pollInstances() }
        scope.launch { watchRankPolicies() }
        sidecar.start()
        reconciler.start()
        httpServer?.start()
    }

    /** Accepts sessions until the requests in flight have ended, because their callers may reconnect on a new session. */
    override suspend fun drain(timeoutMs: Long): Boolean =
        withTimeoutOrNull(timeoutMs.milliseconds) {
            sidecar.drain()
            server?.stopAccepting()
            server?.drain()
            true
        } ?: false

    override suspend fun stop() {
        server?.close()
        httpServer?.stop()
        scope.cancel()
        sessions.close()
        transport.close()
    }

    private suspend fun pollInstances() {
        while (true) {
            instances.list().onRight(::onInstanceList)
            delay(settings.platform.instancePollMs.milliseconds)
        }
    }

    private fun onInstanceList(instances: List<ListedInstance>) {
        val ownInstance = instances.firstOrNull { it.instance == settings.process.instance }
        peers = instances.map { it.sessionAddress } - setOfNotNull(settings.session.address, ownInstance?.sessionAddress)
        if (ownInstance?.state != InstanceState.LEAVING || !leaveStarted.compareAndSet(false, true)) return
        settings.endpoints.forEach { events.write(LogEvent.ENDPOINT_LEAVING, "endpoint" to it.id.value) }
        sidecar.startDraining()
    }

    private suspend fun appendVoid(claim: ClaimRef) =
        log
            .append(claim.stream, listOf(voidRecord(claim, settings.process.id)))
            .map { }

    private fun voidRecord(
        claim: ClaimRef,
        by: ProcessId,
    ): String = ClaimRecordJson.encode(ClaimRecord.Void(claim.claimId, claim.key, by))

    private fun endpointDefinition(endpoint: EndpointSettings): EndpointDefinition {
        val limits = GateLimits(endpoint.slots, endpoint.kvBlocks, endpoint.queueLimit)
        return when (endpoint.kind) {
            EndpointKindName.ENGINE ->
                EndpointDefinition.OfEngine(
                    id = endpoint.id,
                    engine = HttpEngine(transport, endpoint.url),
                    decodeLimits = limits,
                    prefillLimits = GateLimits(MAX_CONCURRENT_PREFILLS, endpoint.kvBlocks, endpoint.queueLimit),
                    kvBlockTokens = endpoint.kvBlockTokens,
                )
            EndpointKindName.SERVICE ->
                EndpointDefinition.OfService(endpoint.id, HttpService(transport, endpoint.url), limits)
        }
    }

    /** Creates a gate without rank policies. The configuration, which holds them, is loaded later; see [watchRankPolicies]. */
    private fun createGate(limits: GateLimits): AdmissionGate =
        if (settings.gate.policy == GatePolicyName.FIFO) FifoGate(limits) else RankedGate(limits, RankedGateSettings())

    private suspend fun watchRankPolicies() {
        follower.states
            .mapNotNull { it?.accepted?.ranks }
            .distinctUntilChanged()
            .collect(sidecar::applyRanks)
    }

    private companion object {
        /** A prefill saturates the compute of an engine, so more of them at once would only slow each other down. */
        const val MAX_CONCURRENT_PREFILLS = 2
    }
}
