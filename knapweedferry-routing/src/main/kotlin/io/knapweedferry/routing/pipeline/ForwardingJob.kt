package io.knapweedferry.routing.pipeline

import io.knapweedferry.routing.call.AttemptTerms
import io.knapweedferry.routing.call.CallRequest
import io.knapweedferry.routing.call.CallerIdentity
import io.knapweedferry.routing.call.UpstreamProtocol
import io.knapweedferry.routing.fleet.ServiceOutage
import io.knapweedferry.routing.model.Organisation
import io.knapweedferry.routing.model.Route
import io.knapweedferry.routing.model.RoutedEndpoint
import io.knapweedferry.routing.model.ServiceProfile
import kotlin.math.max
import kotlin.math.min

/** One request with its route, the selected service and the reply to its caller. */
internal class ForwardingJob(
    val record: CallRecord,
    val route: Route,
    val service: ServiceProfile,
    val reply: CallerReply,
    private val protocol: UpstreamProtocol,
    val recorder: CallRecorder,
    private val stop: StopDeadline,
) {
    val call: CallRequest get() = record.call

    /** Null if the request belongs to no organisation. */
    val organisation: Organisation? get() = record.organisation

    /** Priority of the organisation, or of the route if the organisation has none; 0 is the most urgent. */
    val priority: Int get() = organisation?.priority ?: route.priority

    /** Null if the configuration of this request has no organisations. */
    private val identity: CallerIdentity? =
        record.view.table
            ?.organisations
            ?.let { CallerIdentity(organisation?.id) }

    /** Time until the caller's deadline or the route's timeout, whichever comes first. */
    val remainingMs: Long get() = max(0, allowedMs - call.elapsedMs)

    private val allowedMs: Long get() = min(route.timeoutMs, call.traits.deadlineMs ?: Long.MAX_VALUE)

    /** Time left for the first event before the caller abandons the stream. */
    val timeToAbandonMs: Long get() = min(remainingMs, route.abandonMs - call.elapsedMs)

    /** [timeToAbandonMs] as a share of the route's abandon time, from 1 on arrival down to 0. */
    val timeToAbandonShare: Double get() = (timeToAbandonMs.toDouble() / route.abandonMs).coerceIn(0.0, 1.0)

    /**
     * True if the deadline is so much shorter than the route's timeout that the request is probably a retry. Callers retry
     * only once or twice, so it may be the last chance to serve them.
     */
    val isLikelyRetry: Boolean get() = (call.traits.deadlineMs ?: Long.MAX_VALUE) < route.timeoutMs * FIRST_DEADLINE_SHARE

    /** False if the request needs more KV cache than an engine of the service can reserve, so that none can ever run it. */
    val fitsEngine: Boolean get() = call.traits.promptTokens + call.traits.estimatedOutputTokens <= engineCapacityTokens

    /** KV cache to reserve for the run; an engine without other runs can always grant it. */
    val kvTokens: Int get() = min(call.traits.kvTokens, engineCapacityTokens)

    /** Without reservations only the engine itself decides what it can run. */
    private val engineCapacityTokens: Int
        get() = service.engine?.takeIf { it.maxReservationMs != null && it.kvCapacityTokens > 0 }?.kvCapacityTokens ?: Int.MAX_VALUE

    /** True if an engine that starts now can still deliver the first event within the route's target latency. */
    fun canMeetTarget(timeToFirstEventMs: Double): Boolean = call.elapsedMs + timeToFirstEventMs < route.targetLatencyMs

    /** False if the process stops and might end before the request has been answered. */
    val canComplete: Boolean get() = stop.acceptsLongRequests || (service.engine == null && remainingMs < stop.remainingMs)

    /** True if this process stops and might end before a run of [runMs] that starts now. */
    fun outlastsProcess(runMs: Double): Boolean = stop.remainingMs < runMs

    /** Terms of an attempt at [endpoint]. */
    fun terms(endpoint: RoutedEndpoint): AttemptTerms =
        AttemptTerms(
            endpoint = endpoint.id,
            remainingMs = remainingMs,
            priority = priority,
            lastEventId = call.traits.lastEventId,
            identity = identity,
        )

    fun deliver(response: BufferedResponse) {
        record.recordWrite()
        reply.deliver(response.status, protocol.callerHeaders(response.headers), response.body)
        recorder.recordDelivered(record, response.status)
    }

    /** Responds with an error. If the request certainly did not run, the response says when to retry: after [retryAfterMs]. */
    fun refuse(
        response: LocalResponse,
        retryAfterMs: Long = usualRetryAfterMs(response),
    ) {
        reply.refuse(response, if (response.promisesNotRun) retryAfterMs else null)
        recorder.recordRefused(record, response)
    }

    /** Refuses a request that none of its endpoints accepts; the caller is told when the first one returns. */
    fun refuse(outage: ServiceOutage) {
        val pauseMs = outage.returnsAfterMs ?: return refuse(LocalResponse.NO_ENDPOINT)
        refuse(LocalResponse.ENDPOINTS_PAUSED, pauseMs)
    }

    /**
     * Callers accept a delay of up to a third of their remaining time. Engines that were full for as long as a model request
     * could wait stay full for seconds, so its caller should retry as late as possible; a plain service is soon free again.
     */
    private fun usualRetryAfterMs(response: LocalResponse): Long {
        if (response == LocalResponse.ENTRY_STOPPING) return OTHER_ENTRY_RETRY_AFTER_MS
        val longestMs = remainingMs / RETRY_AFTER_DIVISOR
        if (service.engine != null) return engineRetryAfterMs(longestMs)
        return min(route.targetLatencyMs / 2, longestMs).coerceAtLeast(MIN_RETRY_AFTER_MS)
    }

    /** The queue for engines knows a better time if it has refused the request because of its forecast. */
    private fun engineRetryAfterMs(usualMs: Long): Long {
        val delayMs = record.admissionWait?.retryAfterMs ?: usualMs
        return delayMs.coerceAtLeast(MIN_RETRY_AFTER_MS)
    }

    companion object {
        /** For callers that should turn to another entry, which may serve them at once. */
        const val OTHER_ENTRY_RETRY_AFTER_MS = 150L

        /** A retry that comes sooner than an endpoint finishes one request would find it still full. */
        private const val MIN_RETRY_AFTER_MS = 40L
        private const val RETRY_AFTER_DIVISOR = 4

        /** The first attempt of a caller has a deadline between 6/7 of the route's timeout and the full timeout. */
        private const val FIRST_DEADLINE_SHARE = 0.8
    }
}
