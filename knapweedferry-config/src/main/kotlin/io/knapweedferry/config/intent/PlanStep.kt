package io.knapweedferry.config.intent

import io.knapweedferry.api.EndpointId
import io.knapweedferry.config.state.EndpointAssignment
import kotlinx.serialization.Serializable

/** Order to one engine. Steps of one batch run together; a batch starts once all earlier batches are applied. */
@Serializable
public data class PlanStep(
    /** Position in the plan, from 0. */
    val number: Int,
    val batch: Int,
    val endpoint: EndpointId,
    val assignment: EndpointAssignment,
    /** Version of the model to load. */
    val version: String,
)
