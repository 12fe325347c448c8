package io.knapweedferry.policy.placement

/** Chooses the order in which an entry tries endpoints. Pure: no I/O and no clock of its own. */
public interface PlacementPolicy {
    /** Returns [candidates] with the best first; leaves out those that cannot serve the request at all. */
    public fun order(
        candidates: List<PlacementCandidate>,
        need: PlacementNeed,
    ): List<PlacementCandidate>
}
