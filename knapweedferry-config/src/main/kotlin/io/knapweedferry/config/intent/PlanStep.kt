package io.knapweedferry.config.intent

import io.knapweedferry.api.EndpointId
import io.knapweedferry.config.state.EndpointAssignment
import kotlinx.serialization.Serializable

/** Reassignment of one engine. The steps of a batch run concurrently; a batch starts when all earlier batches are applied. */
@Serializable
public data class PlanStep(
    /** Zero-based position in the plan. */
    val number: Int,
    val batch: Int,
    val endpoint: EndpointId,
    val assignment: EndpointAssignment,
    /** Model version to load. */
    val version: String,
)
