package io.knapweedferry.entry.operator

import io.knapweedferry.api.EndpointId
import io.knapweedferry.config.report.EndpointReport
import io.knapweedferry.config.report.EndpointsReport
import io.knapweedferry.config.report.HistoryReport
import io.knapweedferry.config.report.StatusReport
import io.knapweedferry.config.report.StepReport
import io.knapweedferry.config.stream.ConfigStreamState
import io.knapweedferry.platform.instance.ListedInstance
import kotlinx.coroutines.withTimeoutOrNull

/** Reports the state known to this entry. Does not read the log, so the reports are available during an outage of the log. */
internal class StateReports(
    private val context: OperatorContext,
) {
    fun status(): StatusReport {
        val state = state()
        val rollout = state.rollout
        return StatusReport(
            process = context.process,
            ready = context.follower.currentState() != null,
            revision = state.revision,
            appliedOffset = state.appliedOffset,
            lastChange = state.history.lastOrNull { it.accepted },
            pending = state.pending.map { it.id },
            steps = rollout?.let { StepReport.of(it) } ?: emptyList(),
            stopped = rollout != null && rollout.failed.isNotEmpty(),
            models = state.accepted.models.size,
            endpoints = state.accepted.endpoints.size,
        )
    }

    fun history(): HistoryReport = HistoryReport(state().revision, state().history.asReversed())

    suspend fun endpoints(deadline: Deadline): EndpointsReport {
        val state = state()
        val instances = withTimeoutOrNull(deadline.remainingMs / 2) { context.instances.list() }?.getOrNull()
        val instancesByEndpoint = instancesByEndpoint(instances ?: emptyList())
        val effective = state.snapshot().state.endpoints
        val steps = state.rollout?.let { StepReport.of(it) }?.associateBy { it.step.endpoint } ?: emptyMap()
        val ids = (instancesByEndpoint.keys + state.accepted.endpoints.keys).sortedBy { it.value }
        val endpoints =
            ids.map { id ->
                val listedInstance = instancesByEndpoint[id]
                EndpointReport(
                    endpoint = id,
                    instance = listedInstance?.instance,
                    availabilityZone = listedInstance?.availabilityZone,
                    listed = listedInstance?.state,
                    assigned = state.accepted.endpoints[id],
                    effective = effective[id],
                    version = state.loadedAssignment(id)?.version,
                    step = steps[id],
                )
            }
        return EndpointsReport(state.revision, instances != null, endpoints)
    }

    private fun instancesByEndpoint(instances: List<ListedInstance>): Map<EndpointId, ListedInstance> =
        instances.flatMap { instance -> instance.endpoints.map { it.endpoint to instance } }.toMap()

    private fun state(): ConfigStreamState = context.follower.states.value ?: ConfigStreamState()
}
