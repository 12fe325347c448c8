package io.knapweedferry.sidecar.server

import io.knapweedferry.api.LoadDigest
import io.knapweedferry.config.state.EndpointAssignment

/** A plain service. */
internal class ServiceEndpoint(
    val definition: EndpointDefinition.OfService,
    context: SidecarContext,
    gates: GateFactory,
) : Endpoint {
    override val id = definition.id
    override val state = EndpointState(context)
    val gate = GateKeeper(definition.id, gates.create(definition.limits), context)
    val works = WorkTable(context)

    override fun load(assignment: EndpointAssignment?): LoadDigest = gate.load()

    override fun refuseWaiting() = gate.refuseWaiting(LEAVING)

    override suspend fun cancel(key: WorkKey): Boolean = works.cancel(key) ?: false
}
