package io.knapweedferry.config.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Section `[placement]` of an entry. */
@Serializable
public data class PlacementSettings(
    val policy: PlacementPolicyName = PlacementPolicyName.SCORED,
    /** Endpoints per model and role that one entry talks to. */
    @InRange(min = 1, max = 1_000)
    @SerialName("subset_size")
    val subsetSize: Int = 24,
    /** False prefills before decode capacity is reserved, as routers without reservations do; only for measurements. */
    @SerialName("reserve_first")
    val reserveFirst: Boolean = true,
)
