package io.knapweedferry.routing.fleet

import io.knapweedferry.routing.model.RoutedEndpoint

/** Selected endpoint with its estimated cost. */
internal data class EndpointChoice(
    val endpoint: RoutedEndpoint,
    val costMs: Double,
)
