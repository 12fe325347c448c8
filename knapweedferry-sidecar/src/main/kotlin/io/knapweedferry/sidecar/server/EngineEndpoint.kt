package io.knapweedferry.sidecar.server

import io.knapweedferry.api.LoadSummary
import io.knapweedferry.api.Rank
import io.knapweedferry.config.state.EndpointAssignment
import io.knapweedferry.config.state.EndpointRole
import io.knapweedferry.config.state.RankPolicy

/** A model engine with its decode and prefill capacity. */
internal class EngineEndpoint(
    val definition: EndpointDefinition.OfEngine,
    context: SidecarContext,
    gates: GateFactory,
) : Endpoint {
    private val cleanup = EngineCleanup(definition.engine, context)
    private val ids = EngineRequestIds(context.settings.incarnation)

    override val id = definition.id
    override val state = EndpointState(context)
    val decode = DecodeScheduler(definition, context, state, cleanup, gates)
    val prefill = PrefillScheduler(definition, context, state, cleanup, gates)

    override fun load(assignment: EndpointAssignment?): LoadSummary =
        if (assignment?.role == EndpointRole.PREFILL) prefill.gate.load() else decode.gate.load()

    override fun applyRanks(ranks: Map<Rank, RankPolicy>) {
        decode.gate.update(definition.decodeLimits, RankedGateSettingsFactory.forStreams(ranks))
        prefill.gate.update(definition.prefillLimits, RankedGateSettingsFactory.forUnaryCalls(ranks))
    }

    override fun refuseQueued() {
        decode.gate.refuseQueued(ENDPOINT_LEAVING_REFUSAL)
        prefill.gate.refuseQueued(ENDPOINT_LEAVING_REFUSAL)
    }

    override suspend fun cancel(key: AttemptKey): Boolean {
        val found = listOfNotNull(decode.cancel(key), prefill.cancel(key))
        return found.isNotEmpty() && found.all { it }
    }

    /** Cancels engine requests left by former incarnations of this sidecar; retries until the engine answers. */
    suspend fun cancelOrphans() = cleanup.cancelOrphans(ids)
}
