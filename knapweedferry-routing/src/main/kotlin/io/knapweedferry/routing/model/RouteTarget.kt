package io.knapweedferry.routing.model

import io.knapweedferry.api.ServiceName

/** One service that a route sends requests to, with its weight relative to the other targets of the route. */
public data class RouteTarget(
    val service: ServiceName,
    val weight: Double,
)
