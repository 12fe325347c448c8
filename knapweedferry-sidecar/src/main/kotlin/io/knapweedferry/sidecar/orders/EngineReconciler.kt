package io.knapweedferry.sidecar.orders

import arrow.core.Either
import arrow.core.left
import io.knapweedferry.api.Revision
import io.knapweedferry.config.state.ConfigSnapshot
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.engine.EngineCommand
import io.knapweedferry.sidecar.server.EngineEndpoint
import kotlinx.coroutines.withTimeoutOrNull

/** Makes one engine serve the model and role that the configuration assigns to it. */
internal class EngineReconciler(
    private val endpoint: EngineEndpoint,
    context: ReconcileContext,
) : EndpointReconciler(endpoint, context) {
    private val config = context.targets(endpoint.id)
    private val settings = context.settings
    private val engine = endpoint.definition.engine
    private var served: ServedModel? = null
    private var failedRevision: Revision? = null
    private var unansweredOrders = 0
    private var pausesAtLastRefresh = context.pauses.updateAndCount()

    /** The endpoint accepts no work until the engine has reported which model it serves. */
    override fun prepare() {
        endpoint.state.suspended = true
    }

    override suspend fun reconcile(
        snapshot: ConfigSnapshot,
        stepState: PlanStepState,
    ) {
        val target = ServedModel.assigned(snapshot, endpoint.id) ?: return finishStep(snapshot, stepState)
        val current = served ?: queryServedModel() ?: return
        served = current
        when {
            current == target -> finishStep(snapshot, stepState)
            stepState == PlanStepState.WAITING || failedRevision == snapshot.revision ->
                endpoint.state.suspended = !current.canServeInPlaceOf(target)
            else -> changeModel(snapshot, target, stepState)
        }
    }

    private suspend fun changeModel(
        snapshot: ConfigSnapshot,
        target: ServedModel,
        stepState: PlanStepState,
    ) {
        endpoint.state.suspended = true
        endpoint.refuseQueued()
        endpoint.state.awaitIdle()
        if (!ensureFreshConfig()) return
        // The configuration may have changed while the endpoint drained; the next poll starts from the newest.
        if (config.current()?.revision != snapshot.revision) return
        val result = sendOrder(target, snapshot.revision)
        served = if (result.isRight()) target else queryServedModel()
        // A newer revision may have been confirmed during the call; then this change is outdated and is not reported.
        refreshConfig()
        val newest = config.current() ?: return
        if (newest.revision != snapshot.revision && ServedModel.assigned(newest, endpoint.id) != target) return
        recordResult(result, target, newest.revision, stepState)
    }

    private suspend fun recordResult(
        result: Either<PlatformError, Unit>,
        target: ServedModel,
        revision: Revision,
        stepState: PlanStepState,
    ) {
        val error = result.leftOrNull()
        if (error == null || served == target) {
            unansweredOrders = 0
            endpoint.state.suspended = false
            if (stepState == PlanStepState.DUE) reports.add(revision)
            return
        }
        if (error !is PlatformError.Rejected && ++unansweredOrders < settings.orderAttempts) return
        unansweredOrders = 0
        failedRevision = revision
        if (stepState == PlanStepState.DUE) reports.add(revision, error.message)
    }

    private suspend fun sendOrder(
        target: ServedModel,
        revision: Revision,
    ): Either<PlatformError, Unit> {
        val incarnation = context.sidecar.settings.incarnation.value
        val command = EngineCommand(target.model, target.version, target.adapter, target.role, revision.value, incarnation)
        return withTimeoutOrNull(settings.orderTimeoutMs) { engine.control(command) }
            ?: PlatformError.NoResponse("the engine did not confirm the model change within ${settings.orderTimeoutMs} ms").left()
    }

    /** Refreshes the configuration after a pause of the process, during which the copy in memory may have become outdated. */
    private suspend fun ensureFreshConfig(): Boolean {
        val pauses = context.pauses.updateAndCount()
        if (pauses == pausesAtLastRefresh) return true
        if (!refreshConfig()) return false
        pausesAtLastRefresh = pauses
        return true
    }

    private suspend fun refreshConfig(): Boolean = withTimeoutOrNull(settings.refreshTimeoutMs) { context.refresh.refresh() } == true

    private suspend fun queryServedModel(): ServedModel? =
        withTimeoutOrNull(context.sidecar.settings.engineCallTimeoutMs) { engine.load() }?.getOrNull()?.let(ServedModel::reported)
}
