package io.knapweedferry.sidecar.orders

import arrow.core.Either
import arrow.core.left
import io.knapweedferry.api.Revision
import io.knapweedferry.config.state.ConfigSnapshot
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.engine.EngineOrder
import io.knapweedferry.sidecar.server.EngineEndpoint
import kotlinx.coroutines.withTimeoutOrNull

/** Brings one engine to what the configuration assigns to it. */
internal class EngineSwitch(
    private val endpoint: EngineEndpoint,
    context: OrderContext,
) : EndpointSwitch(endpoint, context) {
    private val config = context.targets(endpoint.id)
    private val settings = context.settings
    private val engine = endpoint.definition.engine
    private var served: ServedModel? = null
    private var failedAt: Revision? = null
    private var attempts = 0
    private var seenPauses = context.pauses.count()

    /** Until the engine told what it serves, the endpoint takes no work. */
    override fun prepare() {
        endpoint.state.closed = true
    }

    override suspend fun follow(
        snapshot: ConfigSnapshot,
        turn: StepTurn,
    ) {
        val wanted = ServedModel.assigned(snapshot, endpoint.id) ?: return confirm(snapshot, turn)
        val now = served ?: readServed() ?: return
        served = now
        when {
            now == wanted -> confirm(snapshot, turn)
            turn == StepTurn.WAITING || failedAt == snapshot.revision -> endpoint.state.closed = !now.canStandInFor(wanted)
            else -> change(snapshot, wanted, turn)
        }
    }

    private suspend fun change(
        snapshot: ConfigSnapshot,
        wanted: ServedModel,
        turn: StepTurn,
    ) {
        endpoint.state.closed = true
        endpoint.refuseWaiting()
        endpoint.state.awaitIdle()
        if (!isFresh()) return
        // The configuration may have changed while the endpoint drained; the next round starts from the newest.
        if (config.current()?.revision != snapshot.revision) return
        val result = give(wanted, snapshot.revision)
        served = if (result.isRight()) wanted else readServed()
        // A newer revision may have been confirmed during the call; then this order is outdated and nothing is reported.
        readConfig()
        val newest = config.current() ?: return
        if (newest.revision != snapshot.revision && ServedModel.assigned(newest, endpoint.id) != wanted) return
        conclude(result, wanted, newest.revision, turn)
    }

    private suspend fun conclude(
        result: Either<PlatformError, Unit>,
        wanted: ServedModel,
        revision: Revision,
        turn: StepTurn,
    ) {
        val error = result.leftOrNull()
        if (error == null || served == wanted) {
            attempts = 0
            endpoint.state.closed = false
            if (turn == StepTurn.DUE) reports.add(revision)
            return
        }
        if (error !is PlatformError.Rejected && ++attempts < settings.orderAttempts) return
        attempts = 0
        failedAt = revision
        if (turn == StepTurn.DUE) reports.add(revision, error.message)
    }

    private suspend fun give(
        wanted: ServedModel,
        revision: Revision,
    ): Either<PlatformError, Unit> {
        val incarnation = context.sidecar.settings.incarnation.value
        val order = EngineOrder(wanted.model, wanted.version, wanted.adapter, wanted.role, revision.value, incarnation)
        return withTimeoutOrNull(settings.orderTimeoutMs) { engine.order(order) }
            ?: PlatformError.NoAnswer("the engine did not answer the order within ${settings.orderTimeoutMs} ms").left()
    }

    /** After a pause of the process, the configuration in memory may be outdated and must be read again. */
    private suspend fun isFresh(): Boolean {
        val pauses = context.pauses.count()
        if (pauses == seenPauses) return true
        if (!readConfig()) return false
        seenPauses = pauses
        return true
    }

    private suspend fun readConfig(): Boolean = withTimeoutOrNull(settings.refreshTimeoutMs) { context.refresh.refresh() } == true

    private suspend fun readServed(): ServedModel? =
        withTimeoutOrNull(context.sidecar.settings.engineCallTimeoutMs) { engine.load() }?.getOrNull()?.let(ServedModel::reported)
}
