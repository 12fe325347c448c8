package io.knapweedferry.routing.pipeline

import io.knapweedferry.api.EndpointId
import io.knapweedferry.routing.call.KvSourceRef
import io.knapweedferry.routing.fleet.CompletedRun
import io.knapweedferry.routing.model.EndpointStage
import io.knapweedferry.routing.model.EngineProfile
import io.knapweedferry.routing.model.RoutedEndpoint

/**
 * Places model requests: each waits for a reservation at a decode engine, and a prefill engine processes its prompt if one
 * is available.
 */
internal class EnginePlacement(
    private val job: ForwardingJob,
    private val engine: EngineProfile,
    private val candidates: () -> List<RoutedEndpoint>,
    private val admissions: AdmissionController,
    private val prefillRunner: PrefillRunner,
    private val settings: ForwardingSettings,
) : StreamPlacement {
    private val estimate = RunTimeEstimate(job)
    private val tried = HashSet<EndpointId>()

    override val refusal get() = if (outlastsProcess) LocalResponse.ENTRY_STOPPING else LocalResponse.ENDPOINTS_FULL

    override val outlastsProcess get() = estimate.outlastsProcess

    override suspend fun admit(isResumed: Boolean): Admission? {
        val admission = admit(isResumed, estimate.maxQueueWaitMs)
        if (admission == null) job.record.recordStep("no_room:${admissions.waitingCount(job.service.name)}")
        return admission
    }

    override suspend fun admitReplacement(waitMs: Long): Admission? = admit(isResumed = true, waitMs)

    private suspend fun admit(
        isResumed: Boolean,
        waitMs: Long,
    ): Admission? {
        val ticket = AdmissionTicket(job, isResumed, estimate.timeToFirstEventMs, candidates, tried)
        return admissions.admit(ticket, engine, waitMs)?.also { tried += it.choice.endpoint.id }
    }

    override fun isServing(endpoint: RoutedEndpoint) = candidates().any { it.id == endpoint.id }

    override fun hasAlternative() = candidates().any { it.stage == EndpointStage.DECODE && it.id !in tried }

    override fun release(admission: Admission) {
        tried -= admission.choice.endpoint.id
        discard(admission)
    }

    override fun discard(admission: Admission) = admissions.release(admission)

    override suspend fun prefill(runEndpoint: RoutedEndpoint): KvSourceRef? = prefillRunner.run(job, engine, candidates(), runEndpoint)

    override fun runOptions(
        endpoint: RoutedEndpoint,
        isPrefilled: Boolean,
    ) = estimate.runOptions(endpoint, isPrefilled, settings)

    override fun onRunEnded(endpoint: RoutedEndpoint) = admissions.onCapacityReleased(job.service.name, endpoint.id)

    override fun recordCompletedRun(
        endpoint: RoutedEndpoint,
        run: CompletedRun,
    ) = admissions.recordCompletedRun(job, engine, endpoint, run)
}
