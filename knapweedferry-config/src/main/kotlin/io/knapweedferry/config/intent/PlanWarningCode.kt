package io.knapweedferry.config.intent

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Kinds of [PlanWarning]. */
@Serializable
public enum class PlanWarningCode(
    /** True if the intent is rejected unless it sets [Intent.force]. */
    public val needsForce: Boolean,
) {
    /** A model loses its last endpoint for decode. */
    @SerialName("no_decode_endpoint")
    NO_DECODE_ENDPOINT(true),

    /** A model loses its last endpoint for prefill. */
    @SerialName("no_prefill_endpoint")
    NO_PREFILL_ENDPOINT(true),

    /** A service loses its last endpoint. */
    @SerialName("no_service_endpoint")
    NO_SERVICE_ENDPOINT(true),

    /** A model is temporarily unavailable because the only endpoint of a role has to be reassigned. */
    @SerialName("pause_in_service")
    PAUSE_IN_SERVICE(false),

    /** More than half of the endpoints of a role are removed or drained at once. */
    @SerialName("capacity_drop")
    CAPACITY_DROP(false),

    /** The endpoint is missing from the platform's instance list. */
    @SerialName("endpoint_not_listed")
    ENDPOINT_NOT_LISTED(false),

    /** The weight store has no size for a model version. */
    @SerialName("cost_unknown")
    COST_UNKNOWN(false),

    /** An earlier plan is still in progress and will be superseded. */
    @SerialName("supersedes_plan")
    SUPERSEDES_PLAN(false),
}
