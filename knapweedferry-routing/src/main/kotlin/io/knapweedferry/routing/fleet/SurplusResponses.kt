package io.knapweedferry.routing.fleet

import io.knapweedferry.api.EndpointId
import io.knapweedferry.routing.model.RoutedEndpoint
import io.knapweedferry.routing.upstream.SurplusResponse
import io.knapweedferry.telemetry.EventLog
import io.knapweedferry.telemetry.LogEvent
import io.knapweedferry.telemetry.RoutingMetrics
import io.knapweedferry.telemetry.SurplusKind
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Logs and counts what endpoints send beyond the responses to their requests. A connection to an endpoint that lately sent a
 * second response without an end carries only one request, because such a response makes the one behind it unreadable. Confined
 * to the event loop.
 */
internal class SurplusResponses(
    private val events: EventLog,
    private val metrics: RoutingMetrics,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private val lastSurplus = HashMap<EndpointId, ComparableTimeMark>()
    private val lastUndelimited = HashMap<EndpointId, ComparableTimeMark>()

    fun record(
        endpoint: RoutedEndpoint,
        surplus: SurplusResponse,
    ) {
        lastSurplus[endpoint.id] = timeSource.markNow()
        if (surplus.kind == SurplusKind.UNDELIMITED) lastUndelimited[endpoint.id] = timeSource.markNow()
        metrics.countSurplusResponse(surplus.kind)
        events.write(
            LogEvent.SURPLUS_RESPONSE,
            "endpoint" to endpoint.id.value,
            "kind" to surplus.kind.name.lowercase(),
            "status" to surplus.status,
            "answered" to surplus.answeredRequestId,
            "request" to surplus.pendingRequestId,
            "local_port" to surplus.localPort,
            "earlier_responses" to surplus.earlierResponses,
            "since_last_response_ms" to surplus.sinceLastResponseMs,
        )
    }

    /** False if the next request to [endpoint] needs a connection of its own. */
    fun permitsReuse(endpoint: EndpointId): Boolean {
        val last = lastUndelimited[endpoint] ?: return true
        if (last.elapsedNow() < SINGLE_USE_PERIOD) return false
        lastUndelimited -= endpoint
        return true
    }

    /** True if [endpoint] lately sent something beyond the responses to its requests. */
    fun isRecent(endpoint: EndpointId): Boolean = lastSurplus[endpoint]?.let { it.elapsedNow() < SURPLUS_PERIOD } ?: false

    /** Forgets endpoints that have left the fleet. */
    fun retain(known: Set<EndpointId>) {
        lastSurplus.keys.retainAll(known)
        lastUndelimited.keys.retainAll(known)
    }

    private companion object {
        /** Endpoints that repeat responses do so for seconds. */
        val SURPLUS_PERIOD = 10.seconds

        /** A connection that is closed after its response shows no surplus, so reuse has to be tried again from time to time. */
        val SINGLE_USE_PERIOD = 30.seconds
    }
}
