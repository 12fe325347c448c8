package io.knapweedferry.sidecar.server

import io.knapweedferry.api.LoadDigest
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
    private val reaper = EngineReaper(definition.engine, context)
    private val ids = EngineRequestIds(context.settings.incarnation)

    override val id = definition.id
    override val state = EndpointState(context)
    val decode = DecodeDesk(definition, context, state, reaper, gates)
    val prefill = PrefillDesk(definition, context, state, reaper, gates)

    override fun load(assignment: EndpointAssignment?): LoadDigest =
        if (assignment?.role == EndpointRole.PREFILL) prefill.gate.load() else decode.gate.load()

    override fun applyRanks(ranks: Map<Rank, RankPolicy>) {
        decode.gate.update(definition.decodeLimits, RankRules.streaming(ranks))
        prefill.gate.update(definition.prefillLimits, RankRules.plain(ranks))
    }

    override fun refuseWaiting() {
        decode.gate.refuseWaiting(LEAVING)
        prefill.gate.refuseWaiting(LEAVING)
    }

    override suspend fun cancel(key: WorkKey): Boolean {
        val found = listOfNotNull(decode.cancel(key), prefill.cancel(key))
        return found.isNotEmpty() && found.all { it }
    }

    /** Cancels what the engine holds for former incarnations; repeats until the engine answers. */
    suspend fun cancelLeftovers() = reaper.cancelLeftovers(ids)
}
