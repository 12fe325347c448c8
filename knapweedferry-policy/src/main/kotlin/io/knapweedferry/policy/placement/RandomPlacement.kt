package io.knapweedferry.policy.placement

import kotlin.random.Random

/** Orders endpoints uniformly at random. Baseline for comparison with other placement policies. */
public class RandomPlacement(
    private val random: Random,
) : PlacementPolicy {
    override fun order(
        candidates: List<PlacementCandidate>,
        request: PlacementRequest,
    ): List<PlacementCandidate> = candidates.shuffled(random)
}
