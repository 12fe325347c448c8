package io.knapweedferry.routing.model

import io.knapweedferry.api.Rank

/** Where requests of one host and path prefix go, and what they may expect. */
public data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RouteKind,
    val targets: List<RouteTarget>,
    /** Longest time that a caller is kept waiting. */
    val timeoutMs: Long,
    /** Time to the answer, or to the first event of a stream, that callers expect. */
    val targetLatencyMs: Long,
    /** Longest pause between two events of a stream that callers expect. */
    val targetPauseMs: Long?,
    /** Time without an event after which callers abandon a stream. */
    val abandonMs: Long,
    /** Endpoints that one request may be sent to. */
    val maxAttempts: Int,
    /** 0 is the most urgent. */
    val priority: Int,
    val isResumable: Boolean,
) {
    /** True if a second run does no harm. */
    val isRepeatable: Boolean get() = kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && isResumable)

    /** Class under which metrics count this route. */
    val rank: Rank get() = Rank.entries[priority.coerceIn(0, Rank.entries.lastIndex)]
}
