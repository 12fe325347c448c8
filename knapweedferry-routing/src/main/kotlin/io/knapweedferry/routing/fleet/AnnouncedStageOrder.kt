package io.knapweedferry.routing.fleet

import io.knapweedferry.api.EndpointId
import io.knapweedferry.routing.model.EndpointStage

/**
 * Stage order for one incarnation of an engine. The holder of the stage lease announces it to the fleet before sending it to
 * the engine.
 */
public data class AnnouncedStageOrder(
    val engine: EndpointId,
    /** Start time of the engine; the order does not apply to another incarnation with the same id. */
    val startedAtMs: Long,
    val stage: EndpointStage,
)
