package io.knapweedferry.config.report

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Progress of a step. */
@Serializable
public enum class StepStatus {
    @SerialName("waiting")
    WAITING,

    @SerialName("active")
    ACTIVE,

    @SerialName("applied")
    APPLIED,

    @SerialName("failed")
    FAILED,
}
