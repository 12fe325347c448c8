package io.knapweedferry.policy.placement

import io.knapweedferry.api.AvailabilityZone
import io.knapweedferry.api.Rank

/** Properties of a request that determine its placement. */
public data class PlacementRequest(
    val rank: Rank,
    val promptTokens: Int,
    /** Number of KV cache blocks that the request needs. */
    val kvBlocks: Int,
    /** Availability zone of the entry. */
    val availabilityZone: AvailabilityZone,
)
