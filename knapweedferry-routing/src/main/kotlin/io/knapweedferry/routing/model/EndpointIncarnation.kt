package io.knapweedferry.routing.model

import io.knapweedferry.api.EndpointId

/** One process of an endpoint; the next one may have the same id. */
internal data class EndpointIncarnation(
    val endpoint: EndpointId,
    val startedAtMs: Long,
)
