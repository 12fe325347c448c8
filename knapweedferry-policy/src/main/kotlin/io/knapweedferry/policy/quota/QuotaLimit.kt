package io.knapweedferry.policy.quota

/** Token bucket of one organisation, for all instances together. */
public data class QuotaLimit(
    val ratePerSecond: Double,
    val burst: Double,
)
