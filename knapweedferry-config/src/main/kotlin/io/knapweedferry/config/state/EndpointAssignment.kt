package io.knapweedferry.config.state

import io.knapweedferry.api.ModelName
import io.knapweedferry.api.ServiceName
import kotlinx.serialization.Serializable

/** What one endpoint is to serve. */
@Serializable
public data class EndpointAssignment(
    val role: EndpointRole,
    /** Present for engines. */
    val model: ModelName? = null,
    val adapter: String? = null,
    /** Present for plain services. */
    val service: ServiceName? = null,
    /** True while the endpoint finishes its work and gets nothing new. */
    val draining: Boolean = false,
)
