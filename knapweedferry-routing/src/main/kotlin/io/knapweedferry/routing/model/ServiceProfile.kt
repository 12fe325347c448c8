package io.knapweedferry.routing.model

import io.knapweedferry.api.ServiceName

/** What all endpoints of one service have in common. */
public data class ServiceProfile(
    val name: ServiceName,
    /** Null for a plain service. */
    val engine: EngineProfile?,
)
