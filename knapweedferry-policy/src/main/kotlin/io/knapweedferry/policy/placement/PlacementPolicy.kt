package io.knapweedferry.policy.placement

/** Determines the order in which an entry tries endpoints. Implementations do no I/O and read no clock. */
public interface PlacementPolicy {
    /** Returns [candidates] from best to worst, without those that can never serve the request. */
    public fun order(
        candidates: List<PlacementCandidate>,
        request: PlacementRequest,
    ): List<PlacementCandidate>
}
