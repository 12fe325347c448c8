package io.knapweedferry.config.report

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Status of a plan. */
@Serializable
public enum class PlanStatus {
    /** The plan can be confirmed. */
    @SerialName("pending")
    PENDING,

    /** The plan was confirmed; later changes may have replaced its result. */
    @SerialName("accepted")
    ACCEPTED,

    /** The plan can no longer be confirmed, because of a conflicting change or because newer proposals evicted it. */
    @SerialName("superseded")
    SUPERSEDED,
}
