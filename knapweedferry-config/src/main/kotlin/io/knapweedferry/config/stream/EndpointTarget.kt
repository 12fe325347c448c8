package io.knapweedferry.config.stream

import io.knapweedferry.api.PlanId
import io.knapweedferry.api.Revision
import io.knapweedferry.config.state.EndpointAssignment

/** Assignment that the sidecar of an endpoint currently has to apply. */
public data class EndpointTarget(
    /** Fencing token for the requests to the engine. */
    val revision: Revision,
    val assignment: EndpointAssignment,
    /** Model version; null for services and for models that are not configured. */
    val version: String?,
    /** Plan of the [step] to report as completed; null if there is nothing to report. */
    val plan: PlanId? = null,
    val step: Int? = null,
)
