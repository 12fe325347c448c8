package io.knapweedferry.routing.fleet

import io.knapweedferry.api.EndpointId
import io.knapweedferry.routing.model.EndpointStage

/** Order to one incarnation of an engine, as the holder of the duty announces it to the fleet before it sends it. */
public data class AnnouncedOrder(
    val engine: EndpointId,
    /** Start of the engine; the order does not concern another incarnation under its id. */
    val bornMs: Long,
    val stage: EndpointStage,
)
