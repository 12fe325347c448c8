package io.knapweedferry.routing.model

/** Defines whether the router may run a request more than once. */
public enum class RouteKind {
    /** May run any number of times. */
    IDEMPOTENT,

    /** May run at most once. */
    UNREPEATABLE,

    /** Answered with an event stream; may run at most once unless its route is resumable. */
    STREAM,
}
