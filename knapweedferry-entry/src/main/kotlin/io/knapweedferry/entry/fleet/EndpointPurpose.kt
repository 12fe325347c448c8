package io.knapweedferry.entry.fleet

import io.knapweedferry.api.ModelName
import io.knapweedferry.api.ServiceName
import io.knapweedferry.config.state.EndpointRole

/** Role and model or service of an endpoint; endpoints with the same purpose are interchangeable. */
internal data class EndpointPurpose(
    val role: EndpointRole,
    val model: ModelName?,
    val service: ServiceName?,
)
