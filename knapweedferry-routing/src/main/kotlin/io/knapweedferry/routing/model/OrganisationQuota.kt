package io.knapweedferry.routing.model

/** Limit on the requests of one organisation over all instances: a token bucket in [unit]. */
public data class OrganisationQuota(
    val unit: QuotaUnit,
    val ratePerSecond: Double,
    val burst: Double,
    /** Cost of a request that declares no token counts, if [unit] is [QuotaUnit.TOKENS]. */
    val undeclaredTokens: Int,
)
