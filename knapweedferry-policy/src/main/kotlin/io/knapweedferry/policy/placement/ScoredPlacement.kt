package io.knapweedferry.policy.placement

import kotlin.random.Random

/**
 * Orders endpoints by expected delay. Among endpoints whose delays are about equal it takes the better of two random ones,
 * so that entries with the same information do not all choose the same endpoint.
 */
public class ScoredPlacement(
    private val random: Random,
    private val weights: PlacementWeights = PlacementWeights(),
) : PlacementPolicy {
    override fun order(
        candidates: List<PlacementCandidate>,
        need: PlacementNeed,
    ): List<PlacementCandidate> {
        val able = candidates.filter { it.memoryPieces == null || it.memoryPieces >= need.pieces }
        val score = PlacementScore(need, weights, able)
        val rest = able.map { it to score.of(it) }.sortedBy { it.second }.toMutableList()
        val ordered = ArrayList<PlacementCandidate>(rest.size)
        while (rest.isNotEmpty()) {
            val limitMs = rest.first().second + weights.toleranceMs
            val equal = rest.indexOfFirst { it.second > limitMs }.let { if (it < 0) rest.size else it }
            // The list is sorted, so the smaller of two positions has the better score.
            val index = minOf(random.nextInt(equal), random.nextInt(equal))
            ordered += rest.removeAt(index).first
        }
        return ordered
    }
}
