package io.knapweedferry.routing.pipeline

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ServiceName
import io.knapweedferry.routing.fleet.CompletedRun
import io.knapweedferry.routing.fleet.EndpointSelector
import io.knapweedferry.routing.fleet.ServiceAvailability
import io.knapweedferry.routing.fleet.StageDemands
import io.knapweedferry.routing.model.EndpointStage
import io.knapweedferry.routing.model.EngineProfile
import io.knapweedferry.routing.model.RoutedEndpoint
import io.knapweedferry.telemetry.RoutingMetrics
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.TimeSource

/**
 * Queues model requests by priority until an engine grants a reservation of the KV cache that the whole run needs. Several
 * entries share the engines, so only the response of an engine shows whether enough KV cache is free. Confined to the event
 * loop.
 */
internal class AdmissionController(
    private val reservations: EngineReservations,
    private val selector: EndpointSelector,
    private val services: ServiceAvailability,
    private val stageDemands: StageDemands,
    private val scope: CoroutineScope,
    private val metrics: RoutingMetrics,
    private val timeSource: TimeSource = TimeSource.Monotonic,
    private val newOrder: (ServiceName) -> AdmissionOrder = { PriorityOrder(timeSource) },
) {
    private val queues = HashMap<ServiceName, AdmissionQueue>()

    /** Waits for a reservation; null if none was granted within [waitMs], or earlier if none can be granted in time. */
    suspend fun admit(
        ticket: AdmissionTicket,
        engine: EngineProfile,
        waitMs: Long,
    ): Admission? {
        val queue = queues.getOrPut(ticket.job.service.name) { newQueue(ticket.job.service.name) }
        val began = timeSource.markNow()
        val wait = queue.add(ticket, engine, waitMs)
        try {
            return withTimeoutOrNull(waitMs) { ticket.await() }
        } finally {
            queue.remove(ticket)
            wait.elapsedMs = began.elapsedNow().inWholeMilliseconds
            ticket.job.record.rank
                ?.let { metrics.recordAdmissionWait(it, wait.elapsedMs) }
        }
    }

    /** What would happen to [ticket] if [admit] were called now. Changes nothing. */
    fun preview(
        ticket: AdmissionTicket,
        engine: EngineProfile,
        waitMs: Long,
    ): AdmissionPreview {
        val service = ticket.job.service.name
        return (queues[service] ?: newQueue(service)).preview(ticket, engine, waitMs)
    }

    private fun newQueue(service: ServiceName) = AdmissionQueue(reservations, selector, services, scope, timeSource, newOrder(service))

    /** Gives back an admission that is not used. */
    fun release(admission: Admission) = reservations.release(admission)

    /** Number of requests that wait for an engine of [service]. */
    fun waitingCount(service: ServiceName): Int = queues[service]?.size ?: 0

    /** Called when [endpoint] has completed the run of [job]. */
    fun recordCompletedRun(
        job: ForwardingJob,
        engine: EngineProfile,
        endpoint: RoutedEndpoint,
        run: CompletedRun,
    ) {
        selector.speeds?.recordRun(endpoint, job.call.traits, run)
        if (engine.kvCapacityTokens == 0) return
        val kvShare =
            job.call.traits.kvTokens
                .toDouble() / engine.kvCapacityTokens
        stageDemands.of(job.service.name).recordRun(RunTimeEstimate(job).prefillMs(EndpointStage.PREFILL), kvShare, run.heldMs)
    }

    /** Called when a run at [endpoint] has ended, so that it may have capacity again. */
    fun onCapacityReleased(
        service: ServiceName,
        endpoint: EndpointId,
    ) {
        queues[service]?.onCapacityReleased(endpoint)
    }
}
