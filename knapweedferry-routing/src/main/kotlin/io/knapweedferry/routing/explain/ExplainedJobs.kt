package io.knapweedferry.routing.explain

import io.knapweedferry.api.placement.PlacementRequest
import io.knapweedferry.routing.call.CallRequest
import io.knapweedferry.routing.call.CallTraits
import io.knapweedferry.routing.call.UpstreamProtocol
import io.knapweedferry.routing.model.Organisation
import io.knapweedferry.routing.model.Route
import io.knapweedferry.routing.model.RoutingView
import io.knapweedferry.routing.model.ServiceProfile
import io.knapweedferry.routing.pipeline.CallRecord
import io.knapweedferry.routing.pipeline.CallRecorder
import io.knapweedferry.routing.pipeline.ForwardingJob
import io.knapweedferry.routing.pipeline.StopDeadline
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import kotlin.time.TimeSource

/** Creates the jobs on which the checks of real requests are evaluated, as if the request had just arrived. */
internal class ExplainedJobs(
    private val protocol: UpstreamProtocol,
    private val recorder: CallRecorder,
    private val stop: StopDeadline,
    private val timeSource: TimeSource = TimeSource.Monotonic,
) {
    fun create(
        view: RoutingView,
        request: PlacementRequest,
        route: Route,
        service: ServiceProfile,
        organisation: Organisation?,
    ): ForwardingJob {
        val call =
            CallRequest(
                HttpMethod.POST,
                request.path,
                request.host,
                EmptyHttpHeaders.INSTANCE,
                ByteArray(0),
                traits(request, service),
                timeSource.markNow(),
            )
        val record = CallRecord(call, view)
        record.route = route
        record.organisation = organisation
        return ForwardingJob(record, route, service, UnusedReply, protocol, recorder, stop)
    }

    /** Requests to plain services usually declare no token counts. */
    private fun traits(
        request: PlacementRequest,
        service: ServiceProfile,
    ): CallTraits {
        val isModel = service.engine != null
        return CallTraits(
            requestId = null,
            deadlineMs = null,
            promptTokens = request.promptTokens ?: if (isModel) TYPICAL_PROMPT_TOKENS else 0,
            maxOutputTokens = request.outputTokens ?: if (isModel) TYPICAL_OUTPUT_TOKENS else 0,
            expectedOutputTokens = null,
            lastEventId = null,
        )
    }

    companion object {
        /** Typical model request of the deployments; see docs/design/README.md. */
        const val TYPICAL_PROMPT_TOKENS = 3_200
        const val TYPICAL_OUTPUT_TOKENS = 800
    }
}
