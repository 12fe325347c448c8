package io.knapweedferry.config.state

import kotlinx.serialization.Serializable

/** A model that callers may ask for. */
@Serializable
public data class ModelPolicy(
    val version: String,
    /** Longest prompt plus answer that the model takes. */
    val contextTokens: Int,
)
