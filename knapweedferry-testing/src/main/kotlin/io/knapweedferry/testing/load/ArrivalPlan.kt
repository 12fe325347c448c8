package io.knapweedferry.testing.load

import java.util.Random
import kotlin.math.ln

/**
 * Plans the arrivals of a run: a Poisson process for each kind of work, thinned outside its floods. Arrivals do not depend on
 * answers (open loop), so a slow system does not slow the load down.
 */
public class ArrivalPlan(
    private val scenario: LoadScenario,
) {
    /** Returns all requests in order of arrival; the same for the same scenario. */
    public fun requests(): List<PlannedRequest> =
        scenario.work
            .flatMapIndexed { index, work -> arrivals(work, Random(scenario.seed * SEED_STRIDE + index)) }
            .sortedBy { it.atMs }
            .mapIndexed { sequence, request -> request.copy(sequence = sequence) }

    private fun arrivals(
        work: LoadWork,
        random: Random,
    ): List<PlannedRequest> {
        val highest = scenario.floods.filter { it.work == work.name }.fold(1.0) { rate, flood -> rate * maxOf(flood.multiplier, 1.0) }
        val requests = mutableListOf<PlannedRequest>()
        var atMs = gapMs(work.ratePerSecond * highest, random)
        while (atMs < scenario.durationMs) {
            val arrives = random.nextDouble() < multiplier(work, atMs.toLong()) / highest
            // Drawn for thinned arrivals too, so that a flood does not change the requests outside it.
            val request = request(work, atMs.toLong(), random)
            if (arrives) requests += request
            atMs += gapMs(work.ratePerSecond * highest, random)
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
        var left = random.nextDouble() * scenario.organisations.sumOf { it.weight }
        return scenario.organisations.firstOrNull {
            left -= it.weight
            left < 0
        } ?: scenario.organisations.last()
    }

    private fun gapMs(
        ratePerSecond: Double,
        random: Random,
    ): Double = if (ratePerSecond <= 0) Double.MAX_VALUE else -ln(1 - random.nextDouble()) * MS_PER_SECOND / ratePerSecond

    private companion object {
        const val MS_PER_SECOND = 1_000

        /** Keeps the random sequences of kinds of work apart for neighbouring seeds. */
        const val SEED_STRIDE = 1_000_003
    }
}
