package io.knapweedferry.policy.placement

import io.knapweedferry.api.LoadDigest
import io.knapweedferry.api.Rank
import kotlin.math.pow

/** Expected delay of a request at an endpoint. */
internal class PlacementScore(
    private val need: PlacementNeed,
    private val weights: PlacementWeights,
    candidates: List<PlacementCandidate>,
) {
    /** Stands in for what is not known of an endpoint. */
    private val usualWaitMs =
        candidates
            .mapNotNull { it.load }
            .map { waitMs(it) }
            .ifEmpty { listOf(0.0) }
            .average()

    /** Returns the delay in milliseconds. */
    fun of(candidate: PlacementCandidate): Double {
        val cached = (candidate.cachedTokensHint * weights.hintTrust).coerceIn(0.0, need.promptTokens.toDouble())
        val prefillMs = (need.promptTokens - cached) / TOKENS_PER_UNIT * weights.prefillMsPerThousandTokens
        val distanceMs = if (candidate.availabilityZone == need.availabilityZone) 0.0 else weights.otherZoneMs
        return expectedWaitMs(candidate) + candidate.outstanding * weights.outstandingMs + prefillMs + distanceMs
    }

    private fun expectedWaitMs(candidate: PlacementCandidate): Double {
        val load = candidate.load ?: return usualWaitMs
        val missing = (need.pieces - load.freePieces).coerceAtLeast(0)
        val reportedMs = waitMs(load) + missing * weights.missingPieceMs
        val trust = HALF.pow(candidate.loadAgeMs.coerceAtLeast(0).toDouble() / weights.loadHalfLifeMs)
        return trust * reportedMs + (1 - trust) * usualWaitMs
    }

    /** Scales the wait of standard work, which the digest gives, to the tickets that go before [need]. */
    private fun waitMs(load: LoadDigest): Double {
        val beforeStandard = load.queuedUrgent + load.queuedStandard
        val before =
            when (need.rank) {
                Rank.URGENT -> load.queuedUrgent
                Rank.STANDARD -> beforeStandard
                Rank.BACKGROUND -> beforeStandard + load.queuedBackground
            }
        return load.waitMs * (before + 1.0) / (beforeStandard + 1.0)
    }

    private companion object {
        const val TOKENS_PER_UNIT = 1_000.0
        const val HALF = 0.5
    }
}
