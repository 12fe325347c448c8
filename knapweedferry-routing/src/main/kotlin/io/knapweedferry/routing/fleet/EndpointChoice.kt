package io.knapweedferry.routing.fleet

import io.knapweedferry.routing.model.RoutedEndpoint

/** A chosen endpoint and the estimate that made it the cheapest. */
internal data class EndpointChoice(
    val endpoint: RoutedEndpoint,
    val costMs: Double,
)
