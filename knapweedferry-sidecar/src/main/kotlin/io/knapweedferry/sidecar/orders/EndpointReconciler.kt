package io.knapweedferry.sidecar.orders

import io.knapweedferry.config.state.ConfigSnapshot
import io.knapweedferry.sidecar.server.Endpoint
import kotlinx.coroutines.delay

/** Follows the configuration for one endpoint to which no orders are given. */
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
                ?.let { reconcile(it, context.reporter.turn(endpoint.id, it.revision)) }
            delay(context.settings.pollMs)
        }
    }

    /** Called once before the configuration is followed. */
    protected open fun prepare(): Unit = Unit

    /** Brings the endpoint closer to [snapshot]. */
    protected open suspend fun reconcile(
        snapshot: ConfigSnapshot,
        turn: StepTurn,
    ): Unit = finishStep(snapshot, turn)

    /** Ends a step that needs no order; an endpoint without work to do first finishes what is in progress. */
    protected suspend fun finishStep(
        snapshot: ConfigSnapshot,
        turn: StepTurn,
    ) {
        val assignment = snapshot.state.endpoints[endpoint.id]
        if (assignment == null || assignment.draining) {
            endpoint.refuseQueued()
            endpoint.state.awaitIdle()
        }
        endpoint.state.suspended = false
        if (turn == StepTurn.DUE) reports.add(snapshot.revision)
    }
}
