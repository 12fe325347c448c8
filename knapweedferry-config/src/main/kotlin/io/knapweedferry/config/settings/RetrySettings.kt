package io.knapweedferry.config.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Section `[retry]` of an entry: limits on retries. */
@Serializable
public data class RetrySettings(
    /** Maximum number of retries, as a percentage of requests. */
    @InRange(min = 0, max = 100)
    @SerialName("budget_percent")
    val budgetPercent: Int = 10,
    /** Maximum number of attempts per request, including the first one. */
    @InRange(min = 1, max = 10)
    @SerialName("max_attempts")
    val maxAttempts: Int = 3,
)
