package io.knapweedferry.config.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Placement policies that an entry can use. */
@Serializable
public enum class PlacementPolicyName {
    @SerialName("scored")
    SCORED,

    /** Baseline for measurements. */
    @SerialName("random")
    RANDOM,
}
