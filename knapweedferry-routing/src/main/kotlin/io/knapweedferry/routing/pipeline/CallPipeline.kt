package io.knapweedferry.routing.pipeline

import io.knapweedferry.api.ServiceName
import io.knapweedferry.routing.call.CallRequest
import io.knapweedferry.routing.call.UpstreamProtocol
import io.knapweedferry.routing.fleet.EndpointAvailability
import io.knapweedferry.routing.fleet.RetryBudgets
import io.knapweedferry.routing.model.EndpointStage
import io.knapweedferry.routing.model.Route
import io.knapweedferry.routing.model.RouteKind
import io.knapweedferry.routing.model.RoutingView
import io.knapweedferry.routing.model.RoutingViewHolder
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.time.ComparableTimeMark

/** Handles one request: finds its route, applies its timeout, forwards it according to its kind and records the outcome. */
internal class CallPipeline(
    private val views: RoutingViewHolder,
    private val plain: PlainForwarder,
    private val stream: StreamForwarder,
    private val placements: StreamPlacements,
    private val retryBudgets: RetryBudgets,
    private val availability: EndpointAvailability,
    private val protocol: UpstreamProtocol,
    private val recorder: CallRecorder,
    private val random: Random = Random.Default,
) {
    /**
     * Time at which this process ends its requests at the latest; null while it is not stopping. New model requests are refused
     * then, and others if they might not end before. Confined to the event loop.
     */
    var endsAt: ComparableTimeMark? = null

    /** Model requests in progress. Confined to the event loop. */
    var runningModelRequests = 0
        private set

    suspend fun serve(
        call: CallRequest,
        reply: CallerReply,
    ) {
        val view = views.current
        val record = CallRecord(call, view)
        try {
            val job = route(record, view, reply) ?: return
            retryBudgets.of(job.service.name).recordRequest()
            withTimeoutOrNull(job.remainingMs) { forward(job) } ?: expire(job)
        } catch (cancelled: CancellationException) {
            // The scope cancels a call only when the connection of its caller has closed.
            recorder.recordCallerDisconnect(record)
            throw cancelled
        }
    }

    /** False if the process might end before the request of [job] has been answered. */
    private fun canComplete(job: ForwardingJob): Boolean {
        val end = endsAt ?: return true
        return job.service.engine == null && job.remainingMs < -end.elapsedNow().inWholeMilliseconds
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
        val service = table.service(pickTarget(route)) ?: return refuse(record, reply, LocalResponse.NO_ENDPOINT)
        val job = ForwardingJob(record, route, service, reply, protocol, recorder)
        return if (canComplete(job)) job else refuse(record, reply, LocalResponse.ENTRY_STOPPING)
    }

    private fun refuse(
        record: CallRecord,
        reply: CallerReply,
        response: LocalResponse,
    ): ForwardingJob? {
        reply.refuse(response, if (response.promisesNotRun) NOT_READY_RETRY_AFTER_MS else null)
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
        val candidates = { views.current.serving(job.service.name).filter(availability::accepts) }
        if (refuseIfNoneAccepts(job)) return
        val isModelRequest = job.service.engine != null
        if (!isModelRequest && job.route.kind != RouteKind.STREAM) return plain.forward(job, candidates)
        if (isModelRequest) runningModelRequests++
        try {
            stream.forward(job, placements.of(job, candidates))
        } finally {
            if (isModelRequest) runningModelRequests--
        }
    }

    /** Refuses the request of [job] if all endpoints that could run it are leaving or paused. */
    private fun refuseIfNoneAccepts(job: ForwardingJob): Boolean {
        val listed = views.current.serving(job.service.name).filter { it.stage != EndpointStage.PREFILL }
        if (listed.isEmpty() || listed.any(availability::accepts)) return false
        val pauseMs = listed.filterNot(availability::isLeaving).minOfOrNull(availability::remainingPauseMs)
        if (pauseMs == null) job.refuse(LocalResponse.NO_ENDPOINT) else job.refuse(LocalResponse.ENDPOINTS_PAUSED, pauseMs)
        return true
    }

    private fun expire(job: ForwardingJob) {
        if (job.reply.isFinished) return
        if (!job.reply.hasStarted) return job.refuse(if (job.record.mayHaveRun) LocalResponse.TIMED_OUT else LocalResponse.EXPIRED_UNSENT)
        job.reply.abort()
        recorder.recordAborted(job.record, "timeout")
    }

    private companion object {
        /** Another entry may have a configuration already, and this one is likely to receive it soon. */
        const val NOT_READY_RETRY_AFTER_MS = 150L
    }
}
