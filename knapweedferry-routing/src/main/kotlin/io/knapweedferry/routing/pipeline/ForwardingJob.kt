package io.knapweedferry.routing.pipeline

import io.knapweedferry.routing.call.AttemptTerms
import io.knapweedferry.routing.call.CallDialect
import io.knapweedferry.routing.call.CallRequest
import io.knapweedferry.routing.model.Route
import io.knapweedferry.routing.model.RoutedEndpoint
import io.knapweedferry.routing.model.ServiceProfile
import kotlin.math.max
import kotlin.math.min

/** One request on its way to a service, and the way back to its caller. */
internal class ForwardingJob(
    val record: CallRecord,
    val route: Route,
    val service: ServiceProfile,
    val reply: CallerReply,
    private val dialect: CallDialect,
    private val recorder: CallRecorder,
) {
    val call: CallRequest get() = record.call

    /** Time until the caller has left or the route's timeout is over. */
    val remainingMs: Long get() = max(0, allowedMs - call.elapsedMs)

    private val allowedMs: Long get() = min(route.timeoutMs, call.traits.deadlineMs ?: Long.MAX_VALUE)

    /** Time that is left to begin a stream before its caller abandons it. */
    val timeToAbandonMs: Long get() = min(remainingMs, route.abandonMs - call.elapsedMs)

    /** Part of the time that the caller waits for a first event that is left, from 1 to 0. */
    val timeToAbandonShare: Double get() = (timeToAbandonMs.toDouble() / route.abandonMs).coerceIn(0.0, 1.0)

    /** True if the caller has waited before, as far as its remaining time shows; callers repeat a request only once or twice. */
    val isLikelyRetry: Boolean get() = (call.traits.deadlineMs ?: Long.MAX_VALUE) < route.timeoutMs * FIRST_DEADLINE_SHARE

    /** True if an engine that begins now can still answer within the target. */
    fun canMeetTarget(timeToFirstEventMs: Double): Boolean = call.elapsedMs + timeToFirstEventMs < route.targetLatencyMs

    fun terms(endpoint: RoutedEndpoint): AttemptTerms =
        AttemptTerms(endpoint = endpoint.id, remainingMs = remainingMs, priority = route.priority, lastEventId = call.traits.lastEventId)

    fun deliver(answer: BufferedResponse) {
        record.noteWrite()
        reply.deliver(answer.status, dialect.callerHeaders(answer.headers), answer.body)
        recorder.delivered(record, answer.status)
    }

    /** Gives the final answer at once; a caller whose request did not run is told when to come back. */
    fun refuse(answer: LocalAnswer) {
        reply.refuse(answer, if (answer.promisesNotRun) retryAfterMs() else null)
        recorder.refused(record, answer)
    }

    /**
     * Callers wait for up to a third of the time that they have left. Engines that were full for as long as a model request
     * could wait stay full for seconds, so its caller had better come back as late as that; a plain service is soon free again.
     */
    private fun retryAfterMs(): Long {
        val longestMs = remainingMs / RETRY_PARTS
        if (service.engine != null) return longestMs.coerceAtLeast(MIN_RETRY_AFTER_MS)
        return min(route.targetLatencyMs / 2, longestMs).coerceAtLeast(MIN_RETRY_AFTER_MS)
    }

    private companion object {
        /** Below the time that an endpoint needs to finish one request, a repeat finds the same situation. */
        const val MIN_RETRY_AFTER_MS = 40L
        const val RETRY_PARTS = 4

        /** First deadlines of callers lie between six sevenths of the route's timeout and the whole. */
        const val FIRST_DEADLINE_SHARE = 0.8
    }
}
