package io.knapweedferry.policy.placement

import io.knapweedferry.api.LoadSummary
import io.knapweedferry.api.Rank
import kotlin.math.pow

/** Estimates the delay of a request at an endpoint. */
internal class PlacementScore(
    private val request: PlacementRequest,
    private val weights: PlacementWeights,
    candidates: List<PlacementCandidate>,
) {
    /**
     * Mean wait over all candidates that reported their load; replaces missing reports and the outdated share of old ones.
     */
    private val meanWaitMs =
        candidates
            .mapNotNull { it.load }
            .map { waitMs(it) }
            .ifEmpty { listOf(0.0) }
            .average()

    /** Returns the expected delay in milliseconds. */
    fun of(candidate: PlacementCandidate): Double {
        val cached = (candidate.cachedTokensHint * weights.cacheHintWeight).coerceIn(0.0, request.promptTokens.toDouble())
        val prefillMs = (request.promptTokens - cached) / TOKENS_PER_THOUSAND * weights.prefillMsPerThousandTokens
        val zoneMs = if (candidate.availabilityZone == request.availabilityZone) 0.0 else weights.crossZoneMs
        return expectedWaitMs(candidate) + candidate.outstanding * weights.perOutstandingRequestMs + prefillMs + zoneMs
    }

    private fun expectedWaitMs(candidate: PlacementCandidate): Double {
        val load = candidate.load ?: return meanWaitMs
        val missingKvBlocks = (request.kvBlocks - load.freeKvBlocks).coerceAtLeast(0)
        val reportedMs = waitMs(load) + missingKvBlocks * weights.perMissingKvBlockMs
        val freshness = HALF.pow(candidate.loadAgeMs.coerceAtLeast(0).toDouble() / weights.loadHalfLifeMs)
        return freshness * reportedMs + (1 - freshness) * meanWaitMs
    }

    /** Scales the reported wait, which is that of a standard request, to the number of tickets that precede [request]. */
    private fun waitMs(load: LoadSummary): Double {
        val queuedUpToStandard = load.queuedUrgent + load.queuedStandard
        val ahead =
            when (request.rank) {
                Rank.URGENT -> load.queuedUrgent
                Rank.STANDARD -> queuedUpToStandard
                Rank.BACKGROUND -> queuedUpToStandard + load.queuedBackground
            }
        return load.waitMs * (ahead + 1.0) / (queuedUpToStandard + 1.0)
    }

    private companion object {
        const val TOKENS_PER_THOUSAND = 1_000.0
        const val HALF = 0.5
    }
}
