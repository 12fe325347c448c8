package io.knapweedferry.entry.fleet

import io.knapweedferry.api.ModelName
import io.knapweedferry.api.ServiceName
import io.knapweedferry.config.state.EndpointRole

/** What an endpoint is for; endpoints with the same purpose can stand in for one another. */
internal data class EndpointPurpose(
    val role: EndpointRole,
    val model: ModelName?,
    val service: ServiceName?,
)
