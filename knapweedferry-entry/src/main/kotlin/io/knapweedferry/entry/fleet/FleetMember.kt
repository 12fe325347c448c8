package io.knapweedferry.entry.fleet

import io.knapweedferry.api.AvailabilityZone
import io.knapweedferry.api.EndpointId
import io.knapweedferry.config.state.EndpointAssignment

/** An endpoint on a listed instance, with its assignment from the configuration. */
internal data class FleetMember(
    val endpoint: EndpointId,
    val address: String,
    val availabilityZone: AvailabilityZone,
    val assignment: EndpointAssignment,
) {
    val purpose: EndpointPurpose get() = EndpointPurpose(assignment.role, assignment.model, assignment.service)
}
