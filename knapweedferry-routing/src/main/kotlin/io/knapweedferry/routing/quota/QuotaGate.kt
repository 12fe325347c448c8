package io.knapweedferry.routing.quota

import io.knapweedferry.api.OrganisationId
import io.knapweedferry.policy.quota.QuotaDecision
import io.knapweedferry.policy.quota.QuotaLedger
import io.knapweedferry.policy.quota.QuotaLimit
import io.knapweedferry.routing.call.CallTraits
import io.knapweedferry.routing.model.Organisation
import io.knapweedferry.routing.model.OrganisationQuota
import io.knapweedferry.routing.model.QuotaUnit
import io.knapweedferry.routing.model.RouteTable
import io.knapweedferry.routing.model.RoutingViewHolder
import io.knapweedferry.telemetry.EventLog
import io.knapweedferry.telemetry.LogEvent
import io.knapweedferry.telemetry.QuotaMetrics
import io.knapweedferry.telemetry.QuotaResult
import kotlin.time.TimeSource

/** Applies the quotas of the current configuration to requests, and logs and counts the decisions. Confined to the event loop. */
internal class QuotaGate(
    private val ledger: QuotaLedger,
    private val views: RoutingViewHolder,
    private val events: EventLog,
    private val metrics: QuotaMetrics,
    private val timeSource: TimeSource = TimeSource.Monotonic,
) {
    private var table: RouteTable? = null
    private val exhausted = HashMap<OrganisationId, Exhaustion>()
    private var wasFailed = true

    /** Refusals of one organisation since its quota was exhausted. */
    private class Exhaustion(
        timeSource: TimeSource,
    ) {
        private val source = timeSource
        val since = timeSource.markNow()
        var last = source.markNow()
            private set
        var refusals = 0
            private set

        fun count() {
            refusals++
            last = source.markNow()
        }
    }

    /** Debits the cost of a request with [traits] if the quota covers it. */
    fun admit(
        organisation: Organisation,
        traits: CallTraits,
    ): QuotaDecision {
        val quota = organisation.quota ?: return QuotaDecision.Admitted
        applyConfiguration()
        val cost = cost(quota, traits)
        val decision = ledger.admit(organisation.id, cost)
        metrics.record(if (decision is QuotaDecision.Refused) QuotaResult.REFUSED else QuotaResult.ADMITTED, organisation.id.value, cost)
        if (decision is QuotaDecision.Refused) recordRefusal(organisation.id)
        return decision
    }

    /** What [admit] would decide now, without a debit or a count; null if [organisation] has no quota. */
    fun preview(
        organisation: Organisation,
        traits: CallTraits,
    ): QuotaPreview? {
        val quota = organisation.quota ?: return null
        applyConfiguration()
        val cost = cost(quota, traits)
        return QuotaPreview(ledger.level(organisation.id), cost, ledger.preview(organisation.id, cost))
    }

    /** Returns the cost of a request that was admitted and certainly has not run. */
    fun refund(
        organisation: Organisation,
        traits: CallTraits,
    ) {
        val quota = organisation.quota ?: return
        val cost = cost(quota, traits)
        ledger.refund(organisation.id, cost)
        metrics.record(QuotaResult.REFUNDED, organisation.id.value, cost)
    }

    /** Applies a new configuration and updates the metrics and the log; called several times a second. */
    fun check() {
        applyConfiguration()
        table?.organisations.orEmpty().forEach { organisation ->
            ledger.level(organisation.id)?.let { metrics.setLevel(organisation.id.value, it) }
        }
        metrics.setExchangeAge(ledger.exchangeAgeMs)
        logExchange()
        exhausted.entries.removeIf { (id, exhaustion) -> isOver(id, exhaustion) }
    }

    private fun applyConfiguration() {
        val current = views.current.table ?: return
        if (current === table) return
        table = current
        ledger.applyLimits(
            current.organisations
                .orEmpty()
                .mapNotNull(::limit)
                .toMap(),
        )
    }

    private fun limit(organisation: Organisation): Pair<OrganisationId, QuotaLimit>? =
        organisation.quota?.let { organisation.id to QuotaLimit(it.ratePerSecond, it.burst) }

    private fun cost(
        quota: OrganisationQuota,
        traits: CallTraits,
    ): Double {
        if (quota.unit == QuotaUnit.REQUESTS) return 1.0
        val declared = traits.promptTokens + traits.maxOutputTokens
        return (if (declared > 0) declared else quota.undeclaredTokens).toDouble()
    }

    private fun recordRefusal(organisation: OrganisationId) {
        exhausted
            .getOrPut(organisation) {
                events.write(LogEvent.QUOTA_EXHAUSTED, "organisation" to organisation.value, "exchange_age_ms" to ledger.exchangeAgeMs)
                Exhaustion(timeSource)
            }.count()
    }

    private fun isOver(
        organisation: OrganisationId,
        exhaustion: Exhaustion,
    ): Boolean {
        if (exhaustion.last.elapsedNow().inWholeMilliseconds < QUIET_MS) return false
        events.write(
            LogEvent.QUOTA_AVAILABLE,
            "organisation" to organisation.value,
            "refused" to exhaustion.refusals,
            "elapsed_ms" to exhaustion.since.elapsedNow().inWholeMilliseconds,
        )
        return true
    }

    private fun logExchange() {
        val isFailed = ledger.isExchangeFailed
        if (isFailed == wasFailed) return
        wasFailed = isFailed
        val event = if (isFailed) LogEvent.QUOTA_EXCHANGE_FAILED else LogEvent.QUOTA_EXCHANGE_RESTORED
        events.write(event, "exchange_age_ms" to ledger.exchangeAgeMs, "entries" to ledger.entries)
    }

    private companion object {
        /** Without a refusal for so long, a quota is no longer reported as exhausted. */
        const val QUIET_MS = 2_000L
    }
}
