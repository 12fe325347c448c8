package io.knapweedferry.routing.pipeline

import io.knapweedferry.routing.fleet.Choice

/** Room at an engine for one request. */
internal class Admission(
    val choice: Choice,
    /** Null where engines take no reservations. */
    val reservation: String?,
)
