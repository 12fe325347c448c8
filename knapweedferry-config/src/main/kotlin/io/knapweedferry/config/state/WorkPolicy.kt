package io.knapweedferry.config.state

import io.knapweedferry.api.ModelName
import io.knapweedferry.api.Rank
import kotlinx.serialization.Serializable

/** Model and rank of a work kind. */
@Serializable
public data class WorkPolicy(
    val model: ModelName,
    val rank: Rank,
)
