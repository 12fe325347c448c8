package io.knapweedferry.testing.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Latency targets that an answer of one rank must meet to count as goodput. */
@Serializable
public data class LoadTarget(
    val rank: String,
    /** Maximum time to the first token; for a service call, to the complete response. */
    @SerialName("first_token_ms")
    val firstTokenMs: Double,
    /** Maximum mean inter-token time of one answer. */
    @SerialName("inter_token_ms")
    val interTokenMs: Double,
)
