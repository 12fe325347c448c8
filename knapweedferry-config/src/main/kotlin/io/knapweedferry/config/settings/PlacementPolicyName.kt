package io.knapweedferry.config.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Policies by which an entry selects an endpoint. */
@Serializable
public enum class PlacementPolicyName {
    @SerialName("scored")
    SCORED,

    /** Uniformly random selection; a baseline for benchmarks. */
    @SerialName("random")
    RANDOM,
}
