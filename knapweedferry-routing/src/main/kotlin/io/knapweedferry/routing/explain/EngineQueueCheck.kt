package io.knapweedferry.routing.explain

import io.knapweedferry.routing.fleet.ServiceAvailability
import io.knapweedferry.routing.model.EndpointStage
import io.knapweedferry.routing.model.EngineProfile
import io.knapweedferry.routing.pipeline.AdmissionController
import io.knapweedferry.routing.pipeline.AdmissionPreview
import io.knapweedferry.routing.pipeline.AdmissionTicket
import io.knapweedferry.routing.pipeline.ForwardingJob
import io.knapweedferry.routing.pipeline.LocalResponse
import io.knapweedferry.routing.pipeline.RunTimeEstimate

/** Evaluates the queue for engines for one model request, as if the request joined it now. */
internal class EngineQueueCheck(
    private val job: ForwardingJob,
    engine: EngineProfile,
    admissions: AdmissionController,
    private val services: ServiceAvailability,
) {
    private val estimate = RunTimeEstimate(job)
    private val maxWaitMs = estimate.maxQueueWaitMs
    private val candidates = { services.accepting(job.service.name) }

    val ticket = AdmissionTicket(job, isResumed = false, estimate.timeToFirstEventMs, candidates, tried = emptySet())
    val preview: AdmissionPreview = admissions.preview(ticket, engine, maxWaitMs)

    fun outcome(): StepOutcome {
        val forecast = preview.forecast
        val askable = candidates().count { it.stage == EndpointStage.DECODE && it.id !in preview.exclusions }
        val detail =
            "${preview.waiting} requests wait, ${forecast.ahead} of them would be served before this one; " +
                "forecast wait ${forecast.waitMs?.let { "${it.toLong()} ms" } ?: "unknown (no congestion observed)"}, " +
                "longest useful wait $maxWaitMs ms; $askable engines may be asked for a reservation now"
        return when {
            estimate.outlastsProcess -> StepOutcome.Refused(LocalResponse.ENTRY_STOPPING, "the run could outlast this process; $detail")
            maxWaitMs <= 0 -> StepOutcome.Refused(LocalResponse.ENDPOINTS_FULL, "no run can end in the time that the route allows; $detail")
            forecast.refusal != null -> StepOutcome.Refused(LocalResponse.ENDPOINTS_FULL, "${forecast.refusal}: $detail")
            forecast.ahead > 0 || askable == 0 -> StepOutcome.Waits(detail)
            else -> StepOutcome.Passed("$detail; the engine's response decides whether it has room")
        }
    }
}
