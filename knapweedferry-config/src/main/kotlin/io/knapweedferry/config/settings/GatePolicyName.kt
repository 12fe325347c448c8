package io.knapweedferry.config.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Admission policies that a sidecar can use. */
@Serializable
public enum class GatePolicyName {
    @SerialName("ranked")
    RANKED,

    /** Baseline for measurements. */
    @SerialName("fifo")
    FIFO,
}
