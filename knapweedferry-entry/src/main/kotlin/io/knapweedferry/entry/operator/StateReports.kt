package io.knapweedferry.entry.operator

import io.knapweedferry.api.EndpointId
import io.knapweedferry.config.report.EndpointReport
import io.knapweedferry.config.report.EndpointsReport
import io.knapweedferry.config.report.HistoryReport
import io.knapweedferry.config.report.StatusReport
import io.knapweedferry.config.report.StepReport
import io.knapweedferry.config.stream.FoldState
import io.knapweedferry.platform.instance.ListedInstance
import kotlinx.coroutines.withTimeoutOrNull

/** Reports the state known to this entry. Does not read the log, so the reports are available during an outage of the log. */
internal class StateReports(
    private val context: OperatorContext,
) {
    fun status(): StatusReport {
        val fold = fold()
        val rollout = fold.rollout
        return StatusReport(
            process = context.process,
            ready = context.follower.currentFold() != null,
            revision = fold.revision,
            foldedOffset = fold.foldedOffset,
            lastChange = fold.history.lastOrNull { it.accepted },
            pending = fold.pending.map { it.id },
            steps = rollout?.let { StepReport.of(it) } ?: emptyList(),
            stopped = rollout != null && rollout.failed.isNotEmpty(),
            models = fold.accepted.models.size,
            endpoints = fold.accepted.endpoints.size,
        )
    }

    fun history(): HistoryReport = HistoryReport(fold().revision, fold().history.asReversed())

    suspend fun endpoints(deadline: Deadline): EndpointsReport {
        val fold = fold()
        val instances = withTimeoutOrNull(deadline.remainingMs / 2) { context.instances.list() }?.getOrNull()
        val instancesByEndpoint = instancesByEndpoint(instances ?: emptyList())
        val effective = fold.snapshot().state.endpoints
        val steps = fold.rollout?.let { StepReport.of(it) }?.associateBy { it.step.endpoint } ?: emptyMap()
        val ids = (instancesByEndpoint.keys + fold.accepted.endpoints.keys).sortedBy { it.value }
        val endpoints =
            ids.map { id ->
                val listedInstance = instancesByEndpoint[id]
                EndpointReport(
                    endpoint = id,
                    instance = listedInstance?.instance,
                    availabilityZone = listedInstance?.availabilityZone,
                    listed = listedInstance?.state,
                    assigned = fold.accepted.endpoints[id],
                    effective = effective[id],
                    version = fold.serving(id)?.version,
                    step = steps[id],
                )
            }
        return EndpointsReport(fold.revision, instances != null, endpoints)
    }

    private fun instancesByEndpoint(instances: List<ListedInstance>): Map<EndpointId, ListedInstance> =
        instances.flatMap { instance -> instance.endpoints.map { it.endpoint to instance } }.toMap()

    private fun fold(): FoldState = context.follower.states.value ?: FoldState()
}
