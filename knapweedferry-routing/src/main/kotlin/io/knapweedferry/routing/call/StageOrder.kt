package io.knapweedferry.routing.call

import io.knapweedferry.api.EndpointId
import io.knapweedferry.routing.model.EndpointStage

/** Order to an engine to change its stage. */
public data class StageOrder(
    /** Engine that the order is for; another one that has taken over its address must not execute the order. */
    val endpoint: EndpointId,
    val stage: EndpointStage,
    /** Id of the instance that sends the order. */
    val holder: String,
    /** Fencing token, by which engines reject orders of a former holder. */
    val fencingToken: Long,
)
