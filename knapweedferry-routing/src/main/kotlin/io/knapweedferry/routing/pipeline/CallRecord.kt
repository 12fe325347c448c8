package io.knapweedferry.routing.pipeline

import io.knapweedferry.routing.call.AttemptTerms
import io.knapweedferry.routing.call.CallRequest
import io.knapweedferry.routing.fleet.EndpointChoice
import io.knapweedferry.routing.model.Route
import io.knapweedferry.routing.model.RoutingView

/** Decisions about one request, for the log and the metrics. */
internal class CallRecord(
    val call: CallRequest,
    val view: RoutingView,
) {
    var route: Route? = null

    /** Endpoints that were sent the request, without those that only read its prompt. */
    var sentCount = 0
        private set

    /** How the request waited for room at an engine; the last time if it did more than once. */
    var admissionWait: AdmissionWait? = null

    var firstByteMs: Long? = null
        private set

    private val steps = StringBuilder()

    /** One word per decision, with the endpoint and the time since arrival. */
    val trace: String get() = steps.toString()

    /** Sends without a statement that the request did not run. */
    private var unconfirmedSends = 0

    /** True if an endpoint may have run the request, or may still run it. */
    val mayHaveRun: Boolean get() = unconfirmedSends > 0

    fun noteSent(
        choice: EndpointChoice,
        terms: AttemptTerms,
    ) {
        if (!terms.isPrefill) {
            sentCount++
            unconfirmedSends++
        }
        val step = if (terms.isPrefill) "prefill" else "send"
        note("$step>${choice.endpoint.id.value}~${choice.costMs.toInt()}")
    }

    /** The endpoint of the last attempt stated that it did not run the request. */
    fun noteNotRun() {
        unconfirmedSends--
        note("not_run")
    }

    fun note(step: String) {
        if (steps.length > MAX_TRACE_CHARS) return
        if (steps.isNotEmpty()) steps.append(' ')
        steps.append(step).append('@').append(call.elapsedMs)
    }

    /** Longest time between two writes to the caller. */
    var maxPauseMs = 0L
        private set

    private var lastByteMs = 0L

    /** Takes note of a write to the caller. */
    fun noteWrite() {
        val nowMs = call.elapsedMs
        if (firstByteMs == null) firstByteMs = nowMs else maxPauseMs = maxOf(maxPauseMs, nowMs - lastByteMs)
        lastByteMs = nowMs
    }

    private companion object {
        /** Keeps a log line short even if a request was resumed many times. */
        const val MAX_TRACE_CHARS = 600
    }
}
