package io.knapweedferry.testing.load

import java.util.Random
import kotlin.math.ln

/**
 * Open-loop arrivals of a run: a Poisson process for each kind of work at its highest rate, thinned outside its floods.
 * Arrivals do not depend on answers, so a slow system does not reduce the load.
 */
public class ArrivalPlan(
    private val scenario: LoadScenario,
) {
    /** Returns all requests in order of arrival. The result is deterministic for a scenario and its seed. */
    public fun requests(): List<PlannedRequest> =
        scenario.work
            .flatMapIndexed { index, work -> arrivals(work, Random(scenario.seed * SEED_STRIDE + index)) }
            .sortedBy { it.atMs }
            .mapIndexed { sequence, request -> request.copy(sequence = sequence) }

    private fun arrivals(
        work: LoadWork,
        random: Random,
    ): List<PlannedRequest> {
        val peakFactor = scenario.floods.filter { it.work == work.name }.fold(1.0) { rate, flood -> rate * maxOf(flood.multiplier, 1.0) }
        val requests = mutableListOf<PlannedRequest>()
        var atMs = gapMs(work.ratePerSecond * peakFactor, random)
        while (atMs < scenario.durationMs) {
            val arrives = random.nextDouble() < multiplier(work, atMs.toLong()) / peakFactor
            // Also drawn for arrivals that are thinned out, so that a flood does not change the requests outside it.
            val request = request(work, atMs.toLong(), random)
            if (arrives) requests += request
            atMs += gapMs(work.ratePerSecond * peakFactor, random)
        }
        return requests
    }

    private fun multiplier(
        work: LoadWork,
        atMs: Long,
    ): Double = scenario.floods.filter { it.work == work.name && it.covers(atMs) }.fold(1.0) { rate, flood -> rate * flood.multiplier }

    private fun request(
        work: LoadWork,
        atMs: Long,
        random: Random,
    ) = PlannedRequest(
        sequence = 0,
        atMs = atMs,
        work = work,
        organisation = organisation(random),
        entryUrl = scenario.entries[random.nextInt(scenario.entries.size)],
        promptTokens = work.promptTokens.draw(random),
        answerTokens = work.answerTokens.draw(random),
        document = random.nextInt(work.documents.coerceAtLeast(1)),
    )

    private fun organisation(random: Random): LoadOrganisation {
        var remaining = random.nextDouble() * scenario.organisations.sumOf { it.weight }
        return scenario.organisations.firstOrNull {
            remaining -= it.weight
            remaining < 0
        } ?: scenario.organisations.last()
    }

    private fun gapMs(
        ratePerSecond: Double,
        random: Random,
    ): Double = if (ratePerSecond <= 0) Double.MAX_VALUE else -ln(1 - random.nextDouble()) * MS_PER_SECOND / ratePerSecond

    private companion object {
        const val MS_PER_SECOND = 1_000

        /** Prevents kinds of work from sharing a random sequence under adjacent seeds. */
        const val SEED_STRIDE = 1_000_003
    }
}
