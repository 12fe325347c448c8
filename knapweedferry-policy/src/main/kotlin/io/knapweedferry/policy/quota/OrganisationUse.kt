package io.knapweedferry.policy.quota

/** What one process admitted of one organisation. */
public data class OrganisationUse(
    /** Admitted since the process started, less refunds. */
    val total: Double,
    /** Admitted per second over the last second or so. */
    val ratePerSecond: Double,
    /** Admitted per second over the last ten seconds or so. */
    val steadyPerSecond: Double,
    /** Requested per second over a longer time, admitted or not; determines shares while an entry is silent. */
    val demandPerSecond: Double,
)
