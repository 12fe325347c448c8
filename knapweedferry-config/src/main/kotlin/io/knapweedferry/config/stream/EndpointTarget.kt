package io.knapweedferry.config.stream

import io.knapweedferry.api.PlanId
import io.knapweedferry.api.Revision
import io.knapweedferry.config.state.EndpointAssignment

/** What the sidecar of an endpoint should have its engine serve now. */
public data class EndpointTarget(
    /** Fencing number for the order. */
    val revision: Revision,
    val assignment: EndpointAssignment,
    /** Version of the model, or null for services and for models that the configuration does not name. */
    val version: String?,
    /** Plan and step to report once the order is carried out; null if nothing is to be reported. */
    val plan: PlanId? = null,
    val step: Int? = null,
)
