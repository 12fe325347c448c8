package io.knapweedferry.config.intent

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Kinds of warnings. */
@Serializable
public enum class PlanWarningCode(
    /** True if the intent is refused unless it says force. */
    public val needsForce: Boolean,
) {
    /** A model loses its last endpoint that decodes. */
    @SerialName("no_decode_endpoint")
    NO_DECODE_ENDPOINT(true),

    /** A model loses its last endpoint that prefills. */
    @SerialName("no_prefill_endpoint")
    NO_PREFILL_ENDPOINT(true),

    /** A service loses its last endpoint. */
    @SerialName("no_service_endpoint")
    NO_SERVICE_ENDPOINT(true),

    /** A model serves nothing for a while, because a role has a single endpoint. */
    @SerialName("pause_in_service")
    PAUSE_IN_SERVICE(false),

    /** More than half of the endpoints of a role leave at once. */
    @SerialName("capacity_drop")
    CAPACITY_DROP(false),

    /** The platform does not list the endpoint. */
    @SerialName("endpoint_not_listed")
    ENDPOINT_NOT_LISTED(false),

    /** The weight store did not tell the size of a model. */
    @SerialName("cost_unknown")
    COST_UNKNOWN(false),

    /** An earlier plan is still being carried out and will be superseded. */
    @SerialName("supersedes_plan")
    SUPERSEDES_PLAN(false),
}
