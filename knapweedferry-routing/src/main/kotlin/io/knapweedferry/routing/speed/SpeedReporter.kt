package io.knapweedferry.routing.speed

import io.knapweedferry.policy.quarantine.EngineIncarnation
import io.knapweedferry.policy.speed.SpeedLedger
import io.knapweedferry.routing.model.RoutingViewHolder
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/** Connects the ledger with the exchange. Confined to the event loop, on which [scope] runs. */
internal class SpeedReporter(
    private val ledger: SpeedLedger,
    private val exchange: SpeedExchange,
    private val views: RoutingViewHolder,
    private val scope: CoroutineScope,
) {
    private var isSubscribed = false

    private fun subscribe() = exchange.subscribe { reports -> scope.launch { ledger.onReports(reports) } }

    /**
     * Publishes a report if one is due and forgets engines that have left; called every [CHECK_INTERVAL_MS]. Does nothing before the
     * instance list is known: engines that are not listed are forgotten, and the reports about them are read only once.
     */
    fun check() {
        if (!views.current.isComplete) return
        if (!isSubscribed) subscribe()
        isSubscribed = true
        ledger.retain(listedEngines())
        exchange.setPollPauseMs(ledger.pollPauseMs)
        ledger.dueReport()?.let(exchange::publish)
    }

    private fun listedEngines() =
        views.current.endpoints.values
            .filter { it.stage != null }
            .mapTo(HashSet()) { EngineIncarnation(it.id, it.startedAtMs) }

    companion object {
        /** A fraction of the shortest time between reports. */
        const val CHECK_INTERVAL_MS = 500L
    }
}
