package io.knapweedferry.config.intent

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ModelName
import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.Rank
import io.knapweedferry.api.WorkKind
import io.knapweedferry.config.state.ConfigState
import io.knapweedferry.config.state.EndpointAssignment
import io.knapweedferry.config.state.OrganisationPolicy
import io.knapweedferry.config.state.RankPolicy
import io.knapweedferry.config.state.WorkPolicy
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Change requested by an operator. Submitting it only produces a [Plan], which takes effect when it is confirmed. */
@Serializable
public sealed interface Intent {
    /** True to proceed despite warnings that otherwise block the intent. */
    public val force: Boolean

    /** Replaces the complete configuration. */
    @Serializable
    @SerialName("apply_fleet")
    public data class ApplyFleet(
        val state: ConfigState,
        override val force: Boolean = false,
    ) : Intent

    /** Sets the assignment of an endpoint. Ends draining, unless the new assignment is marked as draining. */
    @Serializable
    @SerialName("assign_endpoint")
    public data class AssignEndpoint(
        val endpoint: EndpointId,
        val assignment: EndpointAssignment,
        override val force: Boolean = false,
    ) : Intent

    /** Stops sending new requests to an endpoint and lets it complete those in progress. */
    @Serializable
    @SerialName("drain_endpoint")
    public data class DrainEndpoint(
        val endpoint: EndpointId,
        override val force: Boolean = false,
    ) : Intent

    /** Removes an endpoint from the configuration. */
    @Serializable
    @SerialName("remove_endpoint")
    public data class RemoveEndpoint(
        val endpoint: EndpointId,
        override val force: Boolean = false,
    ) : Intent

    /** Sets the model and the rank of a work kind. */
    @Serializable
    @SerialName("set_work")
    public data class SetWork(
        val work: WorkKind,
        val policy: WorkPolicy,
        override val force: Boolean = false,
    ) : Intent

    /** Sets the latency targets, deadline and guaranteed capacity share of a rank. */
    @Serializable
    @SerialName("set_rank")
    public data class SetRank(
        val rank: Rank,
        val policy: RankPolicy,
        override val force: Boolean = false,
    ) : Intent

    /** Sets the API keys, highest rank and allowed models of an organisation. */
    @Serializable
    @SerialName("set_organisation")
    public data class SetOrganisation(
        val organisation: OrganisationId,
        val policy: OrganisationPolicy,
        override val force: Boolean = false,
    ) : Intent

    /** Switches all endpoints of a model to another version. */
    @Serializable
    @SerialName("set_model_version")
    public data class SetModelVersion(
        val model: ModelName,
        val version: String,
        /** New context length, or null to keep the current one. */
        val contextTokens: Int? = null,
        override val force: Boolean = false,
    ) : Intent
}
