package io.knapweedferry.routing.pipeline

import io.knapweedferry.routing.fleet.EndpointChoice

/** Room at an engine for one request. */
internal class Admission(
    val choice: EndpointChoice,
    /** Null where engines take no reservations. */
    val reservation: String?,
)
