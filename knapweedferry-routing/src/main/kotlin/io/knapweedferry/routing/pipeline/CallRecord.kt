package io.knapweedferry.routing.pipeline

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.Rank
import io.knapweedferry.routing.call.AttemptTerms
import io.knapweedferry.routing.call.CallRequest
import io.knapweedferry.routing.fleet.EndpointChoice
import io.knapweedferry.routing.model.Organisation
import io.knapweedferry.routing.model.Route
import io.knapweedferry.routing.model.RoutingView

/** Collects the routing decisions and timings of one request for the log and the metrics. */
internal class CallRecord(
    val call: CallRequest,
    val view: RoutingView,
) {
    var route: Route? = null

    /** Null if the request belongs to no organisation, or has not been authenticated. */
    var organisation: Organisation? = null

    /** Priority of the organisation, or of the route if the organisation has none; 0 is the most urgent. */
    val priority: Int? get() = organisation?.priority ?: route?.priority

    /** Rank under which metrics count the request. */
    val rank: Rank? get() = priority?.let { Rank.entries[it.coerceIn(0, Rank.entries.lastIndex)] }

    /** Number of times the request was sent to an endpoint, not counting prefill requests. */
    var sentCount = 0
        private set

    /** Wait for engine capacity; the last one if the request waited more than once. */
    var admissionWait: AdmissionWait? = null

    var firstByteMs: Long? = null
        private set

    private val steps = StringBuilder()
    private val sentTo = HashSet<EndpointId>()

    /** Space-separated steps, each with the endpoint where there is one and the time since arrival in ms. */
    val trace: String get() = steps.toString()

    /** Number of sends for which no endpoint has confirmed that the request did not run. */
    private var unconfirmedSends = 0

    /** True if an endpoint may have run the request, or may still run it. */
    val mayHaveRun: Boolean get() = unconfirmedSends > 0

    /**
     * False if a pooled connection to [endpoint] may carry a late response that cannot be told from the one to this request: it
     * has no id, or was sent there before under the same id.
     */
    fun permitsPooledConnection(endpoint: EndpointId): Boolean = call.traits.requestId != null && endpoint !in sentTo

    fun recordSent(
        choice: EndpointChoice,
        terms: AttemptTerms,
    ) {
        if (!terms.isPrefill) {
            sentCount++
            unconfirmedSends++
        }
        sentTo += choice.endpoint.id
        val step = if (terms.isPrefill) "prefill" else "send"
        recordStep("$step>${choice.endpoint.id.value}~${choice.costMs.toInt()}")
    }

    /** Records that the endpoint of the last attempt confirmed that it did not run the request. */
    fun recordNotRun() {
        unconfirmedSends--
        recordStep("not_run")
    }

    fun recordStep(step: String) {
        if (steps.length > MAX_TRACE_CHARS) return
        if (steps.isNotEmpty()) steps.append(' ')
        steps.append(step).append('@').append(call.elapsedMs)
    }

    /** Longest time between two writes to the caller. */
    var maxPauseMs = 0L
        private set

    private var lastByteMs = 0L

    /** Updates [firstByteMs] and [maxPauseMs] for a write to the caller. */
    fun recordWrite() {
        val nowMs = call.elapsedMs
        if (firstByteMs == null) firstByteMs = nowMs else maxPauseMs = maxOf(maxPauseMs, nowMs - lastByteMs)
        lastByteMs = nowMs
    }

    private companion object {
        /** Limits the length of the log line of a request that was resumed many times. */
        const val MAX_TRACE_CHARS = 600
    }
}
