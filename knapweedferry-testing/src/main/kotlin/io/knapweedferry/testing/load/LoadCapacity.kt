package io.knapweedferry.testing.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Capacity of the whole fleet, for the upper bound on goodput. Null means unlimited. */
@Serializable
public data class LoadCapacity(
    @SerialName("prefill_tokens_per_second")
    val prefillTokensPerSecond: Double? = null,
    @SerialName("decode_tokens_per_second")
    val decodeTokensPerSecond: Double? = null,
    @SerialName("service_calls_per_second")
    val serviceCallsPerSecond: Double? = null,
)
