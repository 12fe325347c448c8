package io.knapweedferry.testing.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Targets that an answer of one rank has to meet in order to count. */
@Serializable
public data class LoadTarget(
    val rank: String,
    /** For a service call, the time until the whole answer. */
    @SerialName("first_token_ms")
    val firstTokenMs: Double,
    /** Bound on the mean time between the tokens of one answer. */
    @SerialName("inter_token_ms")
    val interTokenMs: Double,
)
