package io.knapweedferry.policy.placement

import kotlin.random.Random

/** Uniformly random order: the baseline that other placements are measured against. */
public class RandomPlacement(
    private val random: Random,
) : PlacementPolicy {
    override fun order(
        candidates: List<PlacementCandidate>,
        need: PlacementNeed,
    ): List<PlacementCandidate> = candidates.shuffled(random)
}
