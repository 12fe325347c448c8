package io.knapweedferry.routing.model

import io.knapweedferry.api.ServiceName

/** Properties shared by all endpoints of one service. */
public data class ServiceProfile(
    val name: ServiceName,
    /** Null for a plain service, whose endpoints are not model engines. */
    val engine: EngineProfile?,
)
