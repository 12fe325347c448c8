package io.knapweedferry.config.state

import io.knapweedferry.api.OperationName
import io.knapweedferry.api.Rank
import kotlinx.serialization.Serializable

/** Operations and rank of a service. */
@Serializable
public data class ServicePolicy(
    val operations: Map<OperationName, OperationPolicy>,
    val rank: Rank = Rank.STANDARD,
)
