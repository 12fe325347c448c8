package io.knapweedferry.routing.fleet

import io.knapweedferry.routing.model.RoutedEndpoint
import io.knapweedferry.routing.upstream.SurplusResponse
import io.knapweedferry.telemetry.EventLog
import io.knapweedferry.telemetry.LogEvent
import io.knapweedferry.telemetry.RoutingMetrics

/** Logs and counts what endpoints send beyond the responses to their requests. */
internal class SurplusResponses(
    private val events: EventLog,
    private val metrics: RoutingMetrics,
) {
    fun record(
        endpoint: RoutedEndpoint,
        surplus: SurplusResponse,
    ) {
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
}
