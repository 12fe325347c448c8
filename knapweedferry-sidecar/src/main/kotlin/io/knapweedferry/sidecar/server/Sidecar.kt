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

/** Gate of the endpoints of one instance: all work for them passes through here. */
public class Sidecar(
    settings: SidecarSettings,
    definitions: List<EndpointDefinition>,
    gates: GateFactory,
    config: ConfigSource,
    voider: ClaimVoider,
    /** Runs streams and timers; they end with it. */
    scope: CoroutineScope,
    timeSource: TimeSource = TimeSource.Monotonic,
    counters: SidecarCounters = SidecarCounters.NONE,
    /** Answers a peer that asks for a configuration newer than a revision. */
    configOffers: (Revision) -> ConfigOffer = { ConfigOffer(Revision.NONE, Revision.NONE.value, null) },
) : ExchangeHandler {
    internal val context = SidecarContext(settings, config, MonotonicClock(timeSource), counters, scope)
    internal val endpoints = Endpoints(definitions, context, gates)
    private val replies = Replies(counters)
    private val access = EndpointAccess(context)
    private val claims = ClaimTable(context.clock, settings.outcomeKeepMs)
    private val describe = DescribeHandler(context, endpoints)
    private val reserve = ReserveHandler(context, access, replies)
    private val release = ReleaseHandler()
    private val prefill = PrefillHandler(context, access, replies)
    private val decode = DecodeHandler(replies)
    private val attach = AttachHandler(replies)
    private val cancel = CancelHandler()
    private val invoke = InvokeHandler(context, access, claims, replies)
    private val claimQuery = ClaimQueryHandler(context, claims, voider)
    private val configPull = ConfigPullHandler(configOffers)

    /** Work in progress at all endpoints. */
    public val inProgress: Int get() = endpoints.all.sumOf { it.state.count }

    /** Starts to cancel what the engines hold for former incarnations. */
    public fun start() {
        endpoints.engines.forEach { engine -> context.scope.launch { engine.cancelLeftovers() } }
    }

    /** Applies the floors and targets of a configuration that came into force. */
    public fun applyRanks(ranks: Map<Rank, RankPolicy>): Unit = endpoints.all.forEach { it.applyRanks(ranks) }

    /** Refuses all new work from now on; work in progress goes on. */
    public fun leave() {
        context.leaving = true
        endpoints.all.forEach { it.refuseWaiting() }
    }

    /** Refuses all new work and suspends until the work in progress has ended. */
    public suspend fun drain() {
        leave()
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
            is Reserve -> on(endpoints.engine(request.endpoint), replies) { reserve.handle(it, request, replies) }
            is Release -> on(endpoints.engine(request.endpoint), replies) { release.handle(it, request, replies) }
            is Prefill -> on(endpoints.engine(request.endpoint), replies) { prefill.handle(it, request, replies) }
            is Decode -> on(endpoints.engine(request.endpoint), replies) { decode.handle(it, request, replies) }
            is Attach -> on(endpoints.engine(request.endpoint), replies) { attach.handle(it, request, replies) }
            is Invoke -> on(endpoints.service(request.endpoint), replies) { invoke.handle(it, request, replies) }
            is Cancel -> on(endpoints[request.endpoint], replies) { cancel.handle(it, request, replies) }
            else -> this.replies.refuse(replies, Refusal(RefusalReason.MALFORMED_REQUEST, "not a request"))
        }
    }

    private suspend fun <E : Endpoint> on(
        endpoint: E?,
        sink: ReplySink,
        action: suspend (E) -> Unit,
    ) {
        if (endpoint != null) return action(endpoint)
        replies.refuse(sink, Refusal(RefusalReason.ENDPOINT_UNAVAILABLE, "this sidecar has no such endpoint"))
    }
}
