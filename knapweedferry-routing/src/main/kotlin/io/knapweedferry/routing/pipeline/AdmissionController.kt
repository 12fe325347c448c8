package io.knapweedferry.routing.pipeline

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ServiceName
import io.knapweedferry.routing.fleet.EndpointSelector
import io.knapweedferry.routing.model.EngineProfile
import io.knapweedferry.telemetry.RoutingMetrics
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.TimeSource

/**
 * Lets model requests wait, most urgent first, until an engine grants a reservation of the KV cache that the whole run
 * needs. Entries share the engines, so only the engine itself knows whether it has room. Confined to the event loop.
 */
internal class AdmissionController(
    private val reservations: EngineReservations,
    private val selector: EndpointSelector,
    private val scope: CoroutineScope,
    private val metrics: RoutingMetrics,
    private val timeSource: TimeSource = TimeSource.Monotonic,
) {
    private val queues = HashMap<ServiceName, AdmissionQueue>()

    /** Waits for room; null if there was none within [waitMs], or as soon as it is known that there will be none. */
    suspend fun admit(
        ticket: AdmissionTicket,
        engine: EngineProfile,
        waitMs: Long,
    ): Admission? {
        val queue = queues.getOrPut(ticket.job.service.name) { AdmissionQueue(reservations, selector, scope, timeSource) }
        val began = timeSource.markNow()
        val wait = queue.add(ticket, engine, waitMs)
        try {
            return withTimeoutOrNull(waitMs) { ticket.await() }
        } finally {
            queue.remove(ticket)
            wait.elapsedMs = began.elapsedNow().inWholeMilliseconds
            metrics.gateLeft(ticket.job.route.rank, wait.elapsedMs)
        }
    }

    /** Requests that wait for an engine of [service]. */
    fun waiting(service: ServiceName): Int = queues[service]?.size ?: 0

    /** A run at [endpoint] ended, so that it may have room again. */
    fun onCapacityReleased(
        service: ServiceName,
        endpoint: EndpointId,
    ) {
        queues[service]?.onCapacityReleased(endpoint)
    }
}
