package io.knapweedferry.routing.call

import io.knapweedferry.api.EndpointId
import io.knapweedferry.routing.model.EndpointStage

/** Order to an engine to work in another stage. */
public data class StageOrder(
    /** Any other endpoint that now has the address must not carry the order out. */
    val endpoint: EndpointId,
    val stage: EndpointStage,
    val holder: String,
    val fence: Long,
)
