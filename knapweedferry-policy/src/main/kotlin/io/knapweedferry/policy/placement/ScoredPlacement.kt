package io.knapweedferry.policy.placement

import kotlin.random.Random

/**
 * Orders endpoints by expected delay. Among endpoints with nearly equal delays it uses the power of two random choices, so
 * that entries with the same information do not all select the same endpoint.
 */
public class ScoredPlacement(
    private val random: Random,
    private val weights: PlacementWeights = PlacementWeights(),
) : PlacementPolicy {
    override fun order(
        candidates: List<PlacementCandidate>,
        request: PlacementRequest,
    ): List<PlacementCandidate> {
        val feasible = candidates.filter { it.totalKvBlocks == null || it.totalKvBlocks >= request.kvBlocks }
        val score = PlacementScore(request, weights, feasible)
        val remaining = feasible.map { it to score.of(it) }.sortedBy { it.second }.toMutableList()
        val ordered = ArrayList<PlacementCandidate>(remaining.size)
        while (remaining.isNotEmpty()) {
            val limitMs = remaining.first().second + weights.tieToleranceMs
            val equalCount = remaining.indexOfFirst { it.second > limitMs }.let { if (it < 0) remaining.size else it }
            // The list is sorted, so the lower of two indices has the better score.
            val index = minOf(random.nextInt(equalCount), random.nextInt(equalCount))
            ordered += remaining.removeAt(index).first
        }
        return ordered
    }
}
