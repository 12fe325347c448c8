package io.knapweedferry.routing.fleet

/** State of a service whose endpoints are all leaving or paused. */
internal class ServiceOutage(
    /** Time until the first pause ends; null if all endpoints are leaving. */
    val returnsAfterMs: Long?,
)
