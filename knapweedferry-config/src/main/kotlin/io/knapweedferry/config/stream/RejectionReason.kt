package io.knapweedferry.config.stream

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Why a confirmation did not count. */
@Serializable
public enum class RejectionReason(
    /** What the operator can do about it. */
    public val remedy: String,
) {
    /** Another confirmation came first. */
    @SerialName("stale_base")
    STALE_BASE("look at the change that came first, then make a new plan"),

    /** The same plan was accepted before. */
    @SerialName("already_accepted")
    ALREADY_ACCEPTED("nothing to do; the plan is in force"),

    /** No plan of this id can be confirmed. */
    @SerialName("unknown_plan")
    UNKNOWN_PLAN("make a new plan; this one does not exist or was displaced by newer proposals"),
}
