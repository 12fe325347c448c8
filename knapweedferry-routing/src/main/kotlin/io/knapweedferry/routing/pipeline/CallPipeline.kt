package io.knapweedferry.routing.pipeline

import arrow.core.getOrElse
import io.knapweedferry.api.ServiceName
import io.knapweedferry.routing.call.CallRequest
import io.knapweedferry.routing.call.UpstreamProtocol
import io.knapweedferry.routing.fleet.RetryBudgets
import io.knapweedferry.routing.fleet.ServiceAvailability
import io.knapweedferry.routing.model.Route
import io.knapweedferry.routing.model.RouteKind
import io.knapweedferry.routing.model.RoutedEndpoint
import io.knapweedferry.routing.model.RoutingView
import io.knapweedferry.routing.model.RoutingViewHolder
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random

/** Handles one request: finds its route, applies its timeout, forwards it according to its kind and records the outcome. */
internal class CallPipeline(
    private val views: RoutingViewHolder,
    private val forwarders: Forwarders,
    private val retryBudgets: RetryBudgets,
    private val services: ServiceAvailability,
    private val protocol: UpstreamProtocol,
    private val recorder: CallRecorder,
    private val organisations: OrganisationChecks,
    private val random: Random = Random.Default,
) {
    /** When this process ends its requests at the latest. */
    val stop = StopDeadline()

    /** Requests in progress with their coroutines. Confined to the event loop. */
    private val running = LinkedHashMap<ForwardingJob, Job>()

    /** Model requests in progress. Confined to the event loop. */
    var runningModelRequests = 0
        private set

    suspend fun serve(
        call: CallRequest,
        reply: CallerReply,
    ) {
        val view = views.current
        val record = CallRecord(call, view)
        val error = runCatching { serve(record, view, reply) }.exceptionOrNull() ?: return
        when {
            // The scope cancels a call only when the connection of its caller has closed.
            error is CancellationException -> recorder.recordCallerDisconnect(record)
            !reply.hasStarted -> refuseAfterError(record, reply)
        }
        throw error
    }

    private suspend fun serve(
        record: CallRecord,
        view: RoutingView,
        reply: CallerReply,
    ) {
        val job = route(record, view, reply) ?: return
        retryBudgets.of(job.service.name).recordRequest()
        val isForwarded = withTimeoutOrNull(job.remainingMs) { forwardUntilStop(job) } ?: false
        if (!isForwarded) expire(job)
    }

    private fun refuseAfterError(
        record: CallRecord,
        reply: CallerReply,
    ) {
        refuse(record, reply, if (record.mayHaveRun) LocalResponse.ANSWER_LOST else LocalResponse.INTERNAL_ERROR)
    }

    /** False if [endUnanswered] ended the request before its response began. */
    private suspend fun forwardUntilStop(job: ForwardingJob): Boolean =
        coroutineScope {
            val forwarding = launch(start = CoroutineStart.UNDISPATCHED) { forward(job) }
            running[job] = forwarding
            try {
                forwarding.join()
            } finally {
                running -= job
            }
            !forwarding.isCancelled
        }

    /**
     * Ends the requests whose response has not begun, because this process stops: each gets a response that says whether it may
     * have run. Streams go on. Must be called on the event loop.
     */
    fun endUnanswered() {
        running.filterKeys { !it.reply.hasStarted }.values.forEach { it.cancel() }
    }

    /** Null if the request was refused; the refusal has been sent then. */
    private fun route(
        record: CallRecord,
        view: RoutingView,
        reply: CallerReply,
    ): ForwardingJob? {
        val table = view.table ?: return refuse(record, reply, LocalResponse.NOT_READY)
        val route = table.find(record.call.host, record.call.target) ?: return refuse(record, reply, LocalResponse.NO_ROUTE)
        record.route = route
        record.organisation =
            organisations.access.authenticate(view, route, record.call.traits.apiKey).getOrElse { return refuse(record, reply, it) }
        val service = table.service(pickTarget(route)) ?: return refuse(record, reply, LocalResponse.NO_ENDPOINT)
        val job = ForwardingJob(record, route, service, reply, protocol, recorder, stop)
        return if (job.canComplete) job else refuse(record, reply, LocalResponse.ENTRY_STOPPING)
    }

    private fun refuse(
        record: CallRecord,
        reply: CallerReply,
        response: LocalResponse,
    ): ForwardingJob? {
        reply.refuse(response, if (response.promisesNotRun) ForwardingJob.OTHER_ENTRY_RETRY_AFTER_MS else null)
        recorder.recordRefused(record, response)
        return null
    }

    private fun pickTarget(route: Route): ServiceName {
        val total = route.targets.sumOf { it.weight }
        var point = random.nextDouble() * total
        return (route.targets.firstOrNull { target -> (point - target.weight).also { point = it } < 0 } ?: route.targets.last()).service
    }

    private suspend fun forward(job: ForwardingJob) {
        // Evaluated for each attempt, so that an endpoint that started to drain meanwhile gets no retry.
        val candidates = { services.accepting(job.service.name) }
        if (!job.fitsEngine) return job.refuse(LocalResponse.TOO_MANY_TOKENS)
        services.outage(job.service.name)?.let { return job.refuse(it) }
        if (!organisations.quotas.admit(job)) return
        try {
            forwardAdmitted(job, candidates)
        } finally {
            organisations.quotas.settle(job)
        }
    }

    private suspend fun forwardAdmitted(
        job: ForwardingJob,
        candidates: () -> List<RoutedEndpoint>,
    ) {
        val isModelRequest = job.service.engine != null
        if (!isModelRequest && job.route.kind != RouteKind.STREAM) return forwarders.plain.forward(job, candidates)
        if (isModelRequest) runningModelRequests++
        try {
            forwarders.stream.forward(job, candidates)
        } finally {
            if (isModelRequest) runningModelRequests--
        }
    }

    private fun expire(job: ForwardingJob) {
        if (job.reply.isFinished) return
        if (!job.reply.hasStarted) return job.refuse(expiryResponse(job))
        job.reply.abort()
        recorder.recordAborted(job.record, "timeout")
    }

    private fun expiryResponse(job: ForwardingJob) =
        when {
            job.record.mayHaveRun -> LocalResponse.TIMED_OUT
            job.remainingMs > 0 -> LocalResponse.ENTRY_STOPPING
            else -> LocalResponse.EXPIRED_UNSENT
        }
}
