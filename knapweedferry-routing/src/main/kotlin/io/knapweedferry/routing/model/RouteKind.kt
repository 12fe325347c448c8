package io.knapweedferry.routing.model

/** What the router may do with a request more than once. */
public enum class RouteKind {
    /** May run any number of times. */
    IDEMPOTENT,

    /** May run once at most. */
    UNREPEATABLE,

    /** Answered by a sequence of events; may run once at most unless its route is resumable. */
    STREAM,
}
