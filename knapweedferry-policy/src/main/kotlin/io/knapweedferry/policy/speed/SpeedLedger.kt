package io.knapweedferry.policy.speed

import io.knapweedferry.policy.quarantine.EngineIncarnation
import kotlin.math.abs
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Times of engines, as this entry and the others have measured them. An entry runs too few requests at one engine to know its speed
 * alone. Without I/O; confined to one thread.
 */
public class SpeedLedger(
    private val node: String,
    private val timeSource: TimeSource,
) {
    private val own = HashMap<EngineIncarnation, OwnTimes>()
    private val others = HashMap<String, SpeedReport>()
    private val combined = HashMap<EngineIncarnation, EngineTimes>()
    private var reported = emptyMap<EngineIncarnation, EngineTimes>()
    private var reportedAt: TimeMark? = null

    /** Time between two reads of the reports of others, so that a large fleet doesn't need more calls than a small one. */
    public val pollPauseMs: Long
        get() = (INTERVAL_MS * (others.size + 1) / REFERENCE_ENTRIES).coerceIn(INTERVAL_MS, MAX_POLL_PAUSE_MS)

    /** Records that [engine] read a prompt, of which this entry knows that nothing else was queued there before. */
    public fun recordPrefill(
        engine: EngineIncarnation,
        usPerToken: Double,
    ) = record(engine) { prefill.add(usPerToken) }

    /** Records the mean time between the events of a stream. */
    public fun recordDecode(
        engine: EngineIncarnation,
        usPerEvent: Double,
    ) = record(engine) { decode.add(usPerEvent) }

    private fun record(
        engine: EngineIncarnation,
        add: OwnTimes.() -> Unit,
    ) {
        own.getOrPut(engine) { OwnTimes() }.add()
        combined[engine] = combine(engine)
    }

    /** Forgets the engines that are not in [engines]. */
    public fun retain(engines: Set<EngineIncarnation>) {
        own.keys.retainAll(engines)
        combined.keys.retainAll(engines)
    }

    /** Relative times to write answers; null if the engines of [engines] are about equally fast, or too little is known. */
    public fun decodeFactors(engines: Collection<EngineIncarnation>): SpeedFactors? = factors(engines) { it.decodeUsPerEvent }

    /** Relative times to read prompts; null as for [decodeFactors]. */
    public fun prefillFactors(engines: Collection<EngineIncarnation>): SpeedFactors? = factors(engines) { it.prefillUsPerToken }

    private fun factors(
        engines: Collection<EngineIncarnation>,
        time: (EngineTimes) -> Double?,
    ): SpeedFactors? =
        SpeedFactors.of(
            engines
                .mapNotNull { engine ->
                    combined.getOrPut(engine) { combine(engine) }.let(time)?.let {
                        engine to
                            it
                    }
                }.toMap(),
        )

    /** The report to write now; null if there is nothing that the others should know. */
    public fun dueReport(): SpeedReport? {
        if (reportedAt?.let { it.elapsedNow() < INTERVAL_MS.milliseconds } == true) return null
        val estimates = own.mapValues { it.value.estimate }
        if (estimates.none { (engine, times) -> isNews(engine, times) }) return null
        reportedAt = timeSource.markNow()
        reported = estimates
        return SpeedReport(node, estimates)
    }

    private fun isNews(
        engine: EngineIncarnation,
        times: EngineTimes,
    ) = isNews(engine, times) { it.prefillUsPerToken } || isNews(engine, times) { it.decodeUsPerEvent }

    /** An estimate is worth a call if few entries have one, or if it is far from what all of them together say. */
    private fun isNews(
        engine: EngineIncarnation,
        times: EngineTimes,
        time: (EngineTimes) -> Double?,
    ): Boolean {
        val estimate = time(times) ?: return false
        val last = reported[engine]?.let(time)
        if (last != null && abs(estimate / last - 1) < MIN_CHANGE) return false
        val known = others.values.mapNotNull { it.engines[engine]?.let(time) }
        return known.size < ENOUGH_ESTIMATES || abs(estimate / median(known) - 1) >= MIN_CHANGE
    }

    /** Applies reports of a successful read. */
    public fun onReports(reports: List<SpeedReport>) {
        val changed = HashSet<EngineIncarnation>()
        reports.filter { it.node != node }.forEach { report ->
            others.put(report.node, report)?.let { changed += it.engines.keys }
            changed += report.engines.keys
        }
        changed.forEach { combined[it] = combine(it) }
    }

    private fun combine(engine: EngineIncarnation): EngineTimes {
        val known = others.values.mapNotNull { it.engines[engine] } + listOfNotNull(own[engine]?.estimate)
        return EngineTimes(
            known.mapNotNull { it.prefillUsPerToken }.takeIf { it.isNotEmpty() }?.let(::median),
            known.mapNotNull { it.decodeUsPerEvent }.takeIf { it.isNotEmpty() }?.let(::median),
        )
    }

    private fun median(values: List<Double>) = values.sorted()[values.size / 2]

    private companion object {
        /**
         * Between two reports of an entry, and between two reads in a fleet of [REFERENCE_ENTRIES]. Speeds stay the same for as long as
         * an engine runs, and every call to the store costs money.
         */
        const val INTERVAL_MS = 15_000L
        const val MAX_POLL_PAUSE_MS = 60_000L
        const val REFERENCE_ENTRIES = 30
        const val ENOUGH_ESTIMATES = 3
        const val MIN_CHANGE = 0.25
    }
}
