package io.knapweedferry.sidecar.server

import io.knapweedferry.api.LoadSummary
import io.knapweedferry.api.Rank
import io.knapweedferry.config.state.EndpointAssignment
import io.knapweedferry.config.state.RankPolicy

/** A plain service with its call capacity. */
internal class ServiceEndpoint(
    val definition: EndpointDefinition.OfService,
    context: SidecarContext,
    gates: GateFactory,
) : Endpoint {
    override val id = definition.id
    override val state = EndpointState(context)
    val gate = AdmissionController(definition.id, gates.create(definition.limits), context)
    val attempts = AttemptTable(context)

    override fun load(assignment: EndpointAssignment?): LoadSummary = gate.load()

    override fun applyRanks(ranks: Map<Rank, RankPolicy>) = gate.update(definition.limits, RankedGateSettingsFactory.forUnaryCalls(ranks))

    override fun refuseQueued() = gate.refuseQueued(ENDPOINT_LEAVING_REFUSAL)

    override suspend fun cancel(key: AttemptKey): Boolean = attempts.cancel(key) ?: false
}
