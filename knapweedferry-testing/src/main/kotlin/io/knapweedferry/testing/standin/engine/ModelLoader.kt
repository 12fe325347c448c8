package io.knapweedferry.testing.standin.engine

import io.knapweedferry.platform.engine.EngineOrder
import io.knapweedferry.testing.standin.http.StandInFailure
import io.knapweedferry.testing.standin.settings.EngineSettings
import io.knapweedferry.testing.standin.weight.WeightStoreStandIn
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** Carries out orders; weights arrive at the rate of the weight store while the engine serves nothing. */
internal class ModelLoader(
    private val settings: EngineSettings,
    private val adapterLoadMs: Long,
    private val weights: WeightStoreStandIn?,
    private val scope: CoroutineScope,
    private val counters: EngineCounters,
    private val onUnload: () -> Unit,
) {
    private val accepted = ArrayDeque<EngineOrder>()
    private var loading: Job? = null
    private var wanted = LoadedModel(settings.model, settings.version, null, settings.role)

    /** What the engine serves now; null while weights load. */
    var loaded: LoadedModel? = wanted
        private set

    var highestFencing = Long.MIN_VALUE
        private set

    val orders: List<EngineOrder> get() = accepted.toList()

    /** Accepts an order at once and carries it out in the background; the load report shows when it is done. */
    fun accept(order: EngineOrder) {
        check(order)
        highestFencing = maxOf(highestFencing, order.fencing)
        counters.acceptedOrders++
        accepted += order
        if (accepted.size > KEPT_ORDERS) accepted.removeFirst()
        val target = LoadedModel(order.model, order.version, order.adapter, order.role)
        if (target == wanted) return
        wanted = target
        loading?.cancel()
        loading = scope.launch { load(target) }
    }

    private fun check(order: EngineOrder) {
        val failure =
            when {
                settings.checksFencing && order.fencing < highestFencing ->
                    StandInFailure(CONFLICT, "stale_fencing", "fencing ${order.fencing} is older than $highestFencing")
                weights != null && !weights.has(order.model, order.version) ->
                    StandInFailure.notFound("no weights of ${order.model} version ${order.version}")
                else -> return
            }
        counters.refusedOrders++
        throw failure
    }

    private suspend fun load(target: LoadedModel) {
        val current = loaded
        if (current?.model != target.model || current.version != target.version) {
            loaded = null
            onUnload()
            weights?.load(target.model, target.version)
        }
        delay(adapterLoadMs)
        loaded = target
    }

    private companion object {
        const val CONFLICT = 409
        const val KEPT_ORDERS = 100
    }
}
