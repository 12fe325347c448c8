package io.knapweedferry.sidecar.orders

import io.knapweedferry.config.state.ConfigSnapshot
import io.knapweedferry.sidecar.server.Endpoint
import kotlinx.coroutines.delay

/** Reconciles one endpoint with the configuration. This base class handles endpoints that load no model. */
internal open class EndpointReconciler(
    private val endpoint: Endpoint,
    protected val context: ReconcileContext,
) {
    protected val reports = StepReports(endpoint.id, context.reporter)

    suspend fun run() {
        prepare()
        while (true) {
            reports.sendPending()
            context
                .targets(endpoint.id)
                .current()
                ?.let { reconcile(it, context.reporter.stepState(endpoint.id, it.revision)) }
            delay(context.settings.pollMs)
        }
    }

    /** Called once before the first reconciliation. */
    protected open fun prepare(): Unit = Unit

    /** Advances the endpoint towards [snapshot]; called on every poll. */
    protected open suspend fun reconcile(
        snapshot: ConfigSnapshot,
        stepState: PlanStepState,
    ): Unit = finishStep(snapshot, stepState)

    /** Completes a step that changes no model. A draining or unassigned endpoint first finishes its work in progress. */
    protected suspend fun finishStep(
        snapshot: ConfigSnapshot,
        stepState: PlanStepState,
    ) {
        val assignment = snapshot.state.endpoints[endpoint.id]
        if (assignment == null || assignment.draining) {
            endpoint.refuseQueued()
            endpoint.state.awaitIdle()
        }
        endpoint.state.suspended = false
        if (stepState == PlanStepState.DUE) reports.add(snapshot.revision)
    }
}
