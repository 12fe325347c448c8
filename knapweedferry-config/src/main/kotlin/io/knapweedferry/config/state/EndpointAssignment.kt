package io.knapweedferry.config.state

import io.knapweedferry.api.ModelName
import io.knapweedferry.api.ServiceName
import kotlinx.serialization.Serializable

/** What an endpoint has to serve. */
@Serializable
public data class EndpointAssignment(
    val role: EndpointRole,
    /** Model to serve; set for engines only. */
    val model: ModelName? = null,
    val adapter: String? = null,
    /** Service to serve; set for services only. */
    val service: ServiceName? = null,
    /** True if the endpoint completes its requests in progress and receives no new ones. */
    val draining: Boolean = false,
)
