package io.knapweedferry.entry.fleet

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ModelName
import io.knapweedferry.api.Revision
import io.knapweedferry.api.ServiceName
import io.knapweedferry.config.state.EndpointRole

/** Immutable set of the endpoints that an entry may use; replaced whenever the instance list or the configuration changes. */
internal data class Fleet(
    /** Revision of the configuration from which the assignments were taken. */
    val revision: Revision,
    val members: Map<EndpointId, FleetMember>,
) {
    /** Endpoints with one of [roles] for [model]. */
    fun enginesFor(
        model: ModelName,
        roles: Set<EndpointRole>,
    ): List<FleetMember> = members.values.filter { it.assignment.model == model && it.assignment.role in roles }

    /** Endpoints that run [service]. */
    fun servicesFor(service: ServiceName): List<FleetMember> = members.values.filter { it.assignment.service == service }

    companion object {
        val EMPTY = Fleet(Revision.NONE, emptyMap())
    }
}
