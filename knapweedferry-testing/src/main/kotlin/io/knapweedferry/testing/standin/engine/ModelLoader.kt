package io.knapweedferry.testing.standin.engine

import io.knapweedferry.platform.engine.EngineCommand
import io.knapweedferry.testing.standin.http.ErrorResponseException
import io.knapweedferry.testing.standin.settings.EngineSettings
import io.knapweedferry.testing.standin.weight.WeightStoreStandIn
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** Executes orders to change the model; the engine serves no requests while weights load at the rate of the weight store. */
internal class ModelLoader(
    private val settings: EngineSettings,
    private val adapterLoadMs: Long,
    private val weights: WeightStoreStandIn?,
    private val scope: CoroutineScope,
    private val counters: EngineCounters,
    private val onUnload: () -> Unit,
) {
    private val acceptedOrders = ArrayDeque<EngineCommand>()
    private var loading: Job? = null

    /** Model of the latest accepted order. */
    private var requested = LoadedModel(settings.model, settings.version, null, settings.role)

    /** Model that the engine serves; null while weights load. */
    var loaded: LoadedModel? = requested
        private set

    var highestFencing = Long.MIN_VALUE
        private set

    val orders: List<EngineCommand> get() = acceptedOrders.toList()

    /** Accepts an order and executes it in the background; the load report shows its completion. */
    fun accept(order: EngineCommand) {
        validate(order)
        highestFencing = maxOf(highestFencing, order.fencing)
        counters.acceptedOrders++
        acceptedOrders += order
        if (acceptedOrders.size > MAX_RETAINED_ORDERS) acceptedOrders.removeFirst()
        val target = LoadedModel(order.model, order.version, order.adapter, order.role)
        if (target == requested) return
        requested = target
        loading?.cancel()
        loading = scope.launch { load(target) }
    }

    private fun validate(order: EngineCommand) {
        val failure =
            when {
                settings.checksFencing && order.fencing < highestFencing ->
                    ErrorResponseException(CONFLICT, "stale_fencing", "fencing number ${order.fencing} is lower than $highestFencing")
                weights != null && !weights.has(order.model, order.version) ->
                    ErrorResponseException.notFound("no weights of ${order.model} version ${order.version}")
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
        const val MAX_RETAINED_ORDERS = 100
    }
}
