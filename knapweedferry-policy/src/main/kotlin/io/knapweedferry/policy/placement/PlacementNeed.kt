package io.knapweedferry.policy.placement

import io.knapweedferry.api.AvailabilityZone
import io.knapweedferry.api.Rank

/** What a request needs from an endpoint. */
public data class PlacementNeed(
    val rank: Rank,
    val promptTokens: Int,
    val pieces: Int,
    /** Availability zone of the entry. */
    val availabilityZone: AvailabilityZone,
)
