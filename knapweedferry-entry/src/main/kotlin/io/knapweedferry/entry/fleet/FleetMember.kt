package io.knapweedferry.entry.fleet

import io.knapweedferry.api.AvailabilityZone
import io.knapweedferry.api.EndpointId
import io.knapweedferry.config.state.EndpointAssignment

/** One usable endpoint: listed as live and assigned by the configuration. */
internal data class FleetMember(
    val endpoint: EndpointId,
    val address: String,
    val availabilityZone: AvailabilityZone,
    val assignment: EndpointAssignment,
) {
    /** Endpoints with the same purpose can stand in for one another. */
    val purpose: EndpointPurpose get() = EndpointPurpose(assignment.role, assignment.model, assignment.service)
}
