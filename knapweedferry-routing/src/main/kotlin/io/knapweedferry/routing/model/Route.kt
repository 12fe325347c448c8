package io.knapweedferry.routing.model

/** Targets, timeouts and retry rules for requests of one host and path prefix. */
public data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RouteKind,
    val targets: List<RouteTarget>,
    /** Maximum time to the complete response. */
    val timeoutMs: Long,
    /** Time to the response, or to the first event of a stream, that callers expect. */
    val targetLatencyMs: Long,
    /** Longest gap between two events of a stream that callers expect; null if there is no target. */
    val targetEventGapMs: Long?,
    /** Time without an event after which callers abandon a stream. */
    val abandonMs: Long,
    /** Maximum number of endpoints that one request is sent to. */
    val maxAttempts: Int,
    /** 0 is the most urgent. */
    val priority: Int,
    val isResumable: Boolean,
    /** True if the route serves callers without an API key. */
    val isPublic: Boolean = false,
) {
    /** True if running the request twice is harmless. */
    val isRepeatable: Boolean get() = kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && isResumable)
}
