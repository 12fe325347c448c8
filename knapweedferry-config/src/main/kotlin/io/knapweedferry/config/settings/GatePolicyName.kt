package io.knapweedferry.config.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Admission policies of a sidecar. */
@Serializable
public enum class GatePolicyName {
    @SerialName("ranked")
    RANKED,

    /** First in, first out regardless of rank; a baseline for benchmarks. */
    @SerialName("fifo")
    FIFO,
}
