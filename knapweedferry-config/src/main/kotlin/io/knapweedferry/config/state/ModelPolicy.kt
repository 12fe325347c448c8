package io.knapweedferry.config.state

import kotlinx.serialization.Serializable

/** Model that callers can request. */
@Serializable
public data class ModelPolicy(
    val version: String,
    /** Maximum number of tokens of prompt and output together. */
    val contextTokens: Int,
)
