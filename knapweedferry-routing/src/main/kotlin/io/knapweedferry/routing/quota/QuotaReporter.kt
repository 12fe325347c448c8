package io.knapweedferry.routing.quota

import io.knapweedferry.policy.quota.QuotaLedger
import io.knapweedferry.policy.quota.UseReport
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlin.time.TimeSource

/** Connects the ledger with the exchange. Confined to the event loop, on which [scope] runs. */
internal class QuotaReporter(
    private val ledger: QuotaLedger,
    private val exchange: QuotaExchange,
    private val scope: CoroutineScope,
    private val timeSource: TimeSource = TimeSource.Monotonic,
) {
    private var isSubscribed = false

    private fun subscribe() = exchange.subscribe { reports, isSnapshot -> scope.launch { ledger.onReports(reports, isSnapshot) } }

    /** Publishes a report if one is due; called every [CHECK_INTERVAL_MS]. Without quotas nothing is exchanged. */
    fun check() {
        if (!ledger.hasLimits) return
        if (!isSubscribed) subscribe()
        isSubscribed = true
        exchange.setPollPauseMs(ledger.pollPauseMs())
        ledger.dueReport()?.let(::publish)
    }

    private fun publish(report: UseReport) {
        val madeAt = timeSource.markNow()
        exchange.publish(report) { scope.launch { ledger.onAcknowledged(report, madeAt.elapsedNow().inWholeMilliseconds) } }
    }

    companion object {
        /** A fraction of the shortest time between reports. */
        const val CHECK_INTERVAL_MS = 100L
    }
}
