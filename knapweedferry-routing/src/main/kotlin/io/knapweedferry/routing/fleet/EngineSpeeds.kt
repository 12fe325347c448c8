package io.knapweedferry.routing.fleet

import io.knapweedferry.api.ServiceName
import io.knapweedferry.policy.quarantine.EngineIncarnation
import io.knapweedferry.policy.speed.AnswerLengths
import io.knapweedferry.policy.speed.ExpectedRun
import io.knapweedferry.policy.speed.SpeedFactors
import io.knapweedferry.policy.speed.SpeedLedger
import io.knapweedferry.routing.call.CallTraits
import io.knapweedferry.routing.model.RoutedEndpoint

/** Speeds of the engines of each service for placement. Confined to the event loop. */
internal class EngineSpeeds(
    private val ledger: SpeedLedger,
) {
    private val lengths = HashMap<ServiceName, AnswerLengths>()
    private var decode = emptyMap<ServiceName, SpeedFactors>()
    private var prefill = emptyMap<ServiceName, SpeedFactors>()

    /** Compares the engines of each service; called periodically, because this takes too long for each request. */
    fun refresh(endpoints: Collection<RoutedEndpoint>) {
        val byService = endpoints.filter { it.stage != null }.groupBy({ it.service }, { it.engineIncarnation() })
        decode = factors(byService, ledger::decodeFactors)
        prefill = factors(byService, ledger::prefillFactors)
    }

    private fun factors(
        engines: Map<ServiceName, List<EngineIncarnation>>,
        compare: (Collection<EngineIncarnation>) -> SpeedFactors?,
    ) = engines.entries.mapNotNull { (service, all) -> compare(all)?.let { service to it } }.toMap()

    /** Time of [engine] to read prompts relative to the typical engine; null if the engines are about equally fast. */
    fun prefillFactor(engine: RoutedEndpoint): Double? = prefill[engine.service]?.of(engine.engineIncarnation())

    /**
     * Returns the cost of an engine of [service] by its speed, for a request that must end within [leftMs]; null if the engines are
     * about equally fast or too little is known.
     */
    fun decodeCost(
        service: ServiceName,
        traits: CallTraits,
        timeToFirstEventMs: Double,
        leftMs: Long,
    ): ((RoutedEndpoint) -> Double)? {
        val factors = decode[service] ?: return null
        val events = traits.estimatedOutputTokens * (lengths[service]?.eventsPerToken ?: return null)
        val run = ExpectedRun(timeToFirstEventMs + events * factors.typicalUs / US_PER_MS, leftMs.toDouble())
        return { run.costMs(factors.of(it.engineIncarnation()), factors.range) }
    }

    /** Records a prompt that [engine] read in [elapsedMs]; nothing of this entry was queued there before. */
    fun recordPrefill(
        engine: RoutedEndpoint,
        promptTokens: Int,
        elapsedMs: Long,
    ) {
        if (promptTokens >= MIN_PROMPT_TOKENS) ledger.recordPrefill(engine.engineIncarnation(), elapsedMs * US_PER_MS / promptTokens)
    }

    /** Records an answer that [engine] completed. */
    fun recordRun(
        engine: RoutedEndpoint,
        traits: CallTraits,
        run: CompletedRun,
    ) {
        lengths.getOrPut(engine.service) { AnswerLengths() }.recordRun(traits.estimatedOutputTokens, run.events)
        if (run.events < MIN_EVENTS) return
        ledger.recordDecode(engine.engineIncarnation(), run.eventSpanMs * US_PER_MS / (run.events - 1))
    }

    private fun RoutedEndpoint.engineIncarnation() = EngineIncarnation(id, startedAtMs)

    private companion object {
        const val US_PER_MS = 1_000.0

        /** In a shorter prompt or answer the fixed times of a request hide the speed of the engine. */
        const val MIN_PROMPT_TOKENS = 1_000
        const val MIN_EVENTS = 10
    }
}
