package io.knapweedferry.routing.model

/** Defines whether a request may be run more than once. */
public enum class RouteKind {
    /** May run any number of times. */
    IDEMPOTENT,

    /** May run at most once. */
    NON_IDEMPOTENT,

    /** Answered with an event stream; may run at most once unless its route is resumable. */
    STREAM,
}
