package io.knapweedferry.telemetry

import io.micrometer.core.instrument.Counter
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

/**
 * Metrics of quotas by organisation. The number of labels is bounded: organisations beyond the first [MAX_ORGANISATIONS] are
 * counted as `other` and have no level.
 */
public class QuotaMetrics internal constructor(
    private val meters: MeterFactory,
) {
    private val amounts = ConcurrentHashMap<Pair<QuotaResult, String>, Counter>()
    private val levels = ConcurrentHashMap<String, AtomicReference<Double>>()
    private val organisations = ConcurrentHashMap.newKeySet<String>()
    private val exchangeAgeMs = AtomicLong()

    init {
        meters.gauge("quota.exchange.age", "seconds since the last read of the use at other entries", emptyList()) {
            exchangeAgeMs.get() / MS_PER_SECOND
        }
    }

    /** Counts [amount], in the unit of the quota. */
    public fun record(
        result: QuotaResult,
        organisation: String,
        amount: Double,
    ) {
        val label = if (isLabelled(organisation)) organisation else OTHER
        amounts
            .computeIfAbsent(result to label) { meters.counter("quota.amount", "result" to result.label, "organisation" to label) }
            .increment(amount)
    }

    /** Sets what this entry believes to be left of the quota; negative if the fleet has exceeded it. */
    public fun setLevel(
        organisation: String,
        level: Double,
    ) {
        if (!isLabelled(organisation)) return
        levels.computeIfAbsent(organisation, ::registerLevel).set(level)
    }

    public fun setExchangeAge(ageMs: Long): Unit = exchangeAgeMs.set(ageMs)

    private fun registerLevel(organisation: String): AtomicReference<Double> {
        val value = AtomicReference(0.0)
        val label = GaugeLabel.ByOrganisation(organisation)
        meters.gauge("quota.level", "rest of the quota of the whole fleet as this entry knows it", listOf(label)) { value.get() }
        return value
    }

    /** Called from the event loop only, so the size can't be exceeded between the two calls. */
    private fun isLabelled(organisation: String): Boolean =
        organisation in organisations || (organisations.size < MAX_ORGANISATIONS && organisations.add(organisation))

    private companion object {
        const val MAX_ORGANISATIONS = 64
        const val OTHER = "other"
        const val MS_PER_SECOND = 1_000.0
    }
}
