package io.knapweedferry.config.stream

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Why a confirmation was rejected. */
@Serializable
public enum class RejectionReason(
    /** What the operator can do about it. */
    public val remedy: String,
) {
    /** Another plan with the same base revision was confirmed first. */
    @SerialName("stale_base")
    STALE_BASE("look at the change that came first, then make a new plan"),

    /** The plan has already been accepted. */
    @SerialName("already_accepted")
    ALREADY_ACCEPTED("nothing to do; the plan is in force"),

    /** There is no pending plan with this id. */
    @SerialName("unknown_plan")
    UNKNOWN_PLAN("make a new plan; this one does not exist or was displaced by newer proposals"),
}
