package io.knapweedferry.config.state

import io.knapweedferry.api.ModelName
import io.knapweedferry.api.Rank
import kotlinx.serialization.Serializable

/** Which model serves a kind of work, and how urgent it is. */
@Serializable
public data class WorkPolicy(
    val model: ModelName,
    val rank: Rank,
)
