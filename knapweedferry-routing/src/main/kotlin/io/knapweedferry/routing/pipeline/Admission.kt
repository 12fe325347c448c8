package io.knapweedferry.routing.pipeline

import io.knapweedferry.routing.fleet.EndpointChoice

/** Engine selected for one request, with the KV cache reservation that it granted. */
internal class Admission(
    val choice: EndpointChoice,
    /** Id of the reservation; null if the engines of the service take no reservations. */
    val reservation: String?,
)
