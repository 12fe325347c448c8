package io.knapweedferry.routing.quota

/** Settings of quotas. */
public data class QuotaSettings(
    /** How long the use of an instance without reports is predicted. */
    val silenceLimitMs: Long,
)
