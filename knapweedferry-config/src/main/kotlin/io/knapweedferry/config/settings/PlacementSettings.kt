package io.knapweedferry.config.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Section `[placement]` of an entry: selection of endpoints for requests. */
@Serializable
public data class PlacementSettings(
    val policy: PlacementPolicyName = PlacementPolicyName.SCORED,
    /** Number of endpoints per model and role to which an entry sends requests. */
    @InRange(min = 1, max = 1_000)
    @SerialName("subset_size")
    val subsetSize: Int = 24,
    /** Reserves decode capacity before prefill. False matches routers without reservations and is only meant for benchmarks. */
    @SerialName("reserve_first")
    val reserveFirst: Boolean = true,
)
