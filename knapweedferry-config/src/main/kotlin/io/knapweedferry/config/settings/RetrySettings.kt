package io.knapweedferry.config.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Section `[retry]` of an entry. */
@Serializable
public data class RetrySettings(
    /** Retries allowed, in percent of the requests. */
    @InRange(min = 0, max = 100)
    @SerialName("budget_percent")
    val budgetPercent: Int = 10,
    /** Attempts per request, the first one included. */
    @InRange(min = 1, max = 10)
    @SerialName("max_attempts")
    val maxAttempts: Int = 3,
)
