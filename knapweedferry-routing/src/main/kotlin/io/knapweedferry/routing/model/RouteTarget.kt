package io.knapweedferry.routing.model

import io.knapweedferry.api.ServiceName

/** One service that a route leads to, and its share of the requests. */
public data class RouteTarget(
    val service: ServiceName,
    val weight: Double,
)
