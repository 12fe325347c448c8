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

/** What an operator wants. It is answered with a [Plan] and changes nothing by itself. */
@Serializable
public sealed interface Intent {
    /** True to accept warnings that otherwise refuse the intent. */
    public val force: Boolean

    /** Replaces the whole configuration. */
    @Serializable
    @SerialName("apply_fleet")
    public data class ApplyFleet(
        val state: ConfigState,
        override val force: Boolean = false,
    ) : Intent

    /** Assigns an endpoint, which also ends draining. */
    @Serializable
    @SerialName("assign_endpoint")
    public data class AssignEndpoint(
        val endpoint: EndpointId,
        val assignment: EndpointAssignment,
        override val force: Boolean = false,
    ) : Intent

    /** Lets an endpoint finish its work and gives it nothing new. */
    @Serializable
    @SerialName("drain_endpoint")
    public data class DrainEndpoint(
        val endpoint: EndpointId,
        override val force: Boolean = false,
    ) : Intent

    /** Takes an endpoint out of the configuration. */
    @Serializable
    @SerialName("remove_endpoint")
    public data class RemoveEndpoint(
        val endpoint: EndpointId,
        override val force: Boolean = false,
    ) : Intent

    /** Sets model and rank of a kind of work. */
    @Serializable
    @SerialName("set_work")
    public data class SetWork(
        val work: WorkKind,
        val policy: WorkPolicy,
        override val force: Boolean = false,
    ) : Intent

    /** Sets targets and share of a rank. */
    @Serializable
    @SerialName("set_rank")
    public data class SetRank(
        val rank: Rank,
        val policy: RankPolicy,
        override val force: Boolean = false,
    ) : Intent

    /** Sets what an organisation may use. */
    @Serializable
    @SerialName("set_organisation")
    public data class SetOrganisation(
        val organisation: OrganisationId,
        val policy: OrganisationPolicy,
        override val force: Boolean = false,
    ) : Intent

    /** Moves all endpoints of a model to another version. */
    @Serializable
    @SerialName("set_model_version")
    public data class SetModelVersion(
        val model: ModelName,
        val version: String,
        /** New context length, or null to keep the present one. */
        val contextTokens: Int? = null,
        override val force: Boolean = false,
    ) : Intent
}
