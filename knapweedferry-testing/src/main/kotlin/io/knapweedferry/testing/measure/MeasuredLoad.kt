package io.knapweedferry.testing.measure

import io.knapweedferry.config.state.EndpointRole
import io.knapweedferry.testing.deploy.DeploymentPlan
import io.knapweedferry.testing.deploy.Deployments
import io.knapweedferry.testing.load.LoadCapacity
import io.knapweedferry.testing.load.LoadFlood
import io.knapweedferry.testing.load.LoadOrganisation
import io.knapweedferry.testing.load.LoadScenario
import io.knapweedferry.testing.load.LoadTarget
import io.knapweedferry.testing.load.LoadWork
import io.knapweedferry.testing.load.TokenDistribution

/**
 * Load proportional to the number of decode engines of a fleet. With one prefill and two decode engines, the peak load uses
 * about 94% of the decode capacity and 80% of the prefill capacity.
 */
internal class MeasuredLoad(
    private val plan: DeploymentPlan,
    private val entries: List<String>,
) {
    private val decodeEngines = plan.engines.filter { it.role == EndpointRole.DECODE }

    /** Returns the load of one run. */
    fun scenario(
        scenario: MeasuredScenario,
        seed: Long,
        durationMs: Long,
    ): LoadScenario {
        val work =
            plan.policies.work.map { (kind, policy) ->
                work(kind.value, policy.rank.name.lowercase(), policy.model.value, scenario.loadFactor)
            }
        val flooded = work.filter { it.rank == scenario.floodedRank }
        return LoadScenario(
            name = scenario.name.lowercase(),
            seed = seed,
            durationMs = durationMs,
            entries = entries,
            maxInFlight = MAX_IN_FLIGHT,
            work = work,
            organisations =
                listOf(
                    LoadOrganisation("harbor-office", Deployments.API_KEY),
                    LoadOrganisation("school-sailing", Deployments.OTHER_API_KEY),
                ),
            targets =
                plan.policies.ranks.map { (rank, policy) ->
                    LoadTarget(rank.name.lowercase(), policy.firstTokenTargetMs.toDouble(), policy.interTokenTargetMs.toDouble())
                },
            floods = flooded.map { LoadFlood(it.name, FLOOD_MULTIPLIER, startMs = 0, durationMs = durationMs) },
            capacity = capacity(),
        )
    }

    private fun work(
        name: String,
        rank: String,
        model: String,
        loadFactor: Double,
    ) = LoadWork(
        name = name,
        rank = rank,
        ratePerSecond = RATES_PER_DECODE_ENGINE.getValue(rank) * decodeEngines.size * loadFactor,
        model = model,
        promptTokens = TokenDistribution(median = 900, sigma = 0.7, smallest = 64, largest = 8_000),
        answerTokens = TokenDistribution(median = 100, sigma = 0.5, smallest = 8, largest = 400),
        sharedPrefixTokens = 300,
        documents = 8,
    )

    /** Maximum throughput of the simulated engines: full batches and no prefill on decode engines. */
    private fun capacity(): LoadCapacity {
        val engine = plan.enginePerformance
        val prefillEngines = plan.engines.count { it.role == EndpointRole.PREFILL }
        return LoadCapacity(
            prefillTokensPerSecond = prefillEngines * MS_PER_SECOND * TOKENS_PER_PREFILL_UNIT / engine.prefillMsPer1000Tokens,
            decodeTokensPerSecond =
                decodeEngines.sumOf { it.slots * MS_PER_SECOND / (engine.baseTokenMs + engine.tokenMsPerStream * (it.slots - 1)) },
        )
    }

    private companion object {
        /** Peak requests per second for each decode engine, by rank. */
        val RATES_PER_DECODE_ENGINE = mapOf("urgent" to 2.9, "standard" to 2.6, "background" to 2.2)
        const val FLOOD_MULTIPLIER = 10.0

        /** Hundreds of requests wait in a flood. Any wait in the driver would be attributed to the router, so the limit is high. */
        const val MAX_IN_FLIGHT = 1_500
        const val MS_PER_SECOND = 1_000.0

        /** Prefill time is configured per 1,000 tokens. */
        const val TOKENS_PER_PREFILL_UNIT = 1_000.0
    }
}
