package io.knapweedferry.config.report

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What became of a plan. */
@Serializable
public enum class PlanStatus {
    /** Can be confirmed. */
    @SerialName("pending")
    PENDING,

    /** In force, or was until a later change. */
    @SerialName("accepted")
    ACCEPTED,

    /** Can no longer be confirmed, because another change came first or newer proposals displaced it. */
    @SerialName("superseded")
    SUPERSEDED,
}
