package io.knapweedferry.sidecar.server

import io.knapweedferry.api.ProcessId
import io.knapweedferry.api.Rank
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.api.Revision
import io.knapweedferry.api.message.Attach
import io.knapweedferry.api.message.Cancel
import io.knapweedferry.api.message.ClaimQuery
import io.knapweedferry.api.message.ConfigOffer
import io.knapweedferry.api.message.ConfigPull
import io.knapweedferry.api.message.Decode
import io.knapweedferry.api.message.Describe
import io.knapweedferry.api.message.Invoke
import io.knapweedferry.api.message.Message
import io.knapweedferry.api.message.Prefill
import io.knapweedferry.api.message.Release
import io.knapweedferry.api.message.Reserve
import io.knapweedferry.config.state.ConfigSource
import io.knapweedferry.config.state.RankPolicy
import io.knapweedferry.session.ExchangeHandler
import io.knapweedferry.session.ReplySink
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlin.time.TimeSource

/** Controls admission to the endpoints of one instance and runs their requests. */
public class Sidecar(
    settings: SidecarSettings,
    definitions: List<EndpointDefinition>,
    gates: GateFactory,
    config: ConfigSource,
    voider: ClaimVoider,
    /** Parent scope of all streams and timers. */
    scope: CoroutineScope,
    timeSource: TimeSource = TimeSource.Monotonic,
    counters: SidecarCounters = SidecarCounters.NONE,
    /** Returns the configuration to send to a peer that has the given revision. */
    configOffers: (Revision) -> ConfigOffer = { ConfigOffer(Revision.NONE, Revision.NONE.value, null) },
) : ExchangeHandler {
    internal val context = SidecarContext(settings, config, MonotonicClock(timeSource), counters, scope)
    internal val endpoints = Endpoints(definitions, context, gates)
    private val errorReplies = ErrorReplies(counters)
    private val assignmentCheck = AssignmentCheck(context)
    private val claims = ClaimTable(context.clock, settings.outcomeRetentionMs)
    private val describe = DescribeHandler(context, endpoints)
    private val reserve = ReserveHandler(context, assignmentCheck, errorReplies)
    private val release = ReleaseHandler()
    private val prefill = PrefillHandler(context, assignmentCheck, errorReplies)
    private val decode = DecodeHandler(errorReplies)
    private val attach = AttachHandler(errorReplies)
    private val cancel = CancelHandler()
    private val invoke = InvokeHandler(context, assignmentCheck, claims, errorReplies)
    private val claimQuery = ClaimQueryHandler(context, claims, voider)
    private val configPull = ConfigPullHandler(configOffers)

    /** Number of attempts in progress at all endpoints. */
    public val inProgress: Int get() = endpoints.all.sumOf { it.state.inProgressCount }

    /** Starts cancelling engine requests left by former incarnations of this sidecar. */
    public fun start() {
        endpoints.engines.forEach { engine -> context.scope.launch { engine.cancelOrphans() } }
    }

    /** Applies the capacity floors and inter-token targets of a new configuration. */
    public fun applyRanks(ranks: Map<Rank, RankPolicy>): Unit = endpoints.all.forEach { it.applyRanks(ranks) }

    /** Refuses new and queued requests while work in progress continues. */
    public fun startDraining() {
        context.draining = true
        endpoints.all.forEach { it.refuseQueued() }
    }

    /** Refuses new and queued requests and suspends until the work in progress has ended. */
    public suspend fun drain() {
        startDraining()
        endpoints.all.forEach { it.state.awaitIdle() }
    }

    override suspend fun handle(
        peer: ProcessId,
        request: Message,
        replies: ReplySink,
    ) {
        when (request) {
            is Describe -> describe.handle(replies)
            is ConfigPull -> configPull.handle(request, replies)
            is ClaimQuery -> claimQuery.handle(request, replies)
            is Reserve -> withEndpoint(endpoints.engine(request.endpoint), replies) { reserve.handle(it, request, replies) }
            is Release -> withEndpoint(endpoints.engine(request.endpoint), replies) { release.handle(it, request, replies) }
            is Prefill -> withEndpoint(endpoints.engine(request.endpoint), replies) { prefill.handle(it, request, replies) }
            is Decode -> withEndpoint(endpoints.engine(request.endpoint), replies) { decode.handle(it, request, replies) }
            is Attach -> withEndpoint(endpoints.engine(request.endpoint), replies) { attach.handle(it, request, replies) }
            is Invoke -> withEndpoint(endpoints.service(request.endpoint), replies) { invoke.handle(it, request, replies) }
            is Cancel -> withEndpoint(endpoints[request.endpoint], replies) { cancel.handle(it, request, replies) }
            else -> errorReplies.refuse(replies, Refusal(RefusalReason.MALFORMED_REQUEST, "the message is not a request"))
        }
    }

    private suspend fun <E : Endpoint> withEndpoint(
        endpoint: E?,
        sink: ReplySink,
        action: suspend (E) -> Unit,
    ) {
        if (endpoint != null) return action(endpoint)
        errorReplies.refuse(sink, Refusal(RefusalReason.ENDPOINT_UNAVAILABLE, "this sidecar has no such endpoint of this kind"))
    }
}
