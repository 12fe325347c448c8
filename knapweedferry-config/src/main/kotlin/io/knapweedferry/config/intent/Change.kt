package io.knapweedferry.config.intent

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ModelName
import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.Rank
import io.knapweedferry.api.ServiceName
import io.knapweedferry.api.WorkKind
import io.knapweedferry.config.state.ConfigState
import io.knapweedferry.config.state.EndpointAssignment
import io.knapweedferry.config.state.ModelPolicy
import io.knapweedferry.config.state.OrganisationPolicy
import io.knapweedferry.config.state.RankPolicy
import io.knapweedferry.config.state.ServicePolicy
import io.knapweedferry.config.state.WorkPolicy
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Replaces one element of the configuration, such as a model or an endpoint. A change carries the complete new value of its
 * element, so a plan defines the new configuration without repeating unchanged elements: with 600 endpoints the full
 * configuration is about 70 KB, a change about 200 bytes.
 */
@Serializable
public sealed interface Change {
    /** Returns [state] with this element replaced, or removed if the change has no new value. */
    public fun applyTo(state: ConfigState): ConfigState

    /** Adds, updates or removes a model. */
    @Serializable
    @SerialName("model")
    public data class Model(
        val model: ModelName,
        val before: ModelPolicy? = null,
        val after: ModelPolicy? = null,
    ) : Change {
        override fun applyTo(state: ConfigState): ConfigState = state.copy(models = state.models.replace(model, after))
    }

    /** Adds, updates or removes a service. */
    @Serializable
    @SerialName("service")
    public data class Service(
        val service: ServiceName,
        val before: ServicePolicy? = null,
        val after: ServicePolicy? = null,
    ) : Change {
        override fun applyTo(state: ConfigState): ConfigState = state.copy(services = state.services.replace(service, after))
    }

    /** Adds, updates or removes a work kind. */
    @Serializable
    @SerialName("work")
    public data class Work(
        val work: WorkKind,
        val before: WorkPolicy? = null,
        val after: WorkPolicy? = null,
    ) : Change {
        override fun applyTo(state: ConfigState): ConfigState = state.copy(work = state.work.replace(work, after))
    }

    /** Adds, updates or removes the policy of a rank. */
    @Serializable
    @SerialName("rank")
    public data class RankTarget(
        val rank: Rank,
        val before: RankPolicy? = null,
        val after: RankPolicy? = null,
    ) : Change {
        override fun applyTo(state: ConfigState): ConfigState = state.copy(ranks = state.ranks.replace(rank, after))
    }

    /** Adds, updates or removes an organisation. */
    @Serializable
    @SerialName("organisation")
    public data class Organisation(
        val organisation: OrganisationId,
        val before: OrganisationPolicy? = null,
        val after: OrganisationPolicy? = null,
    ) : Change {
        override fun applyTo(state: ConfigState): ConfigState = state.copy(organisations = state.organisations.replace(organisation, after))
    }

    /** Adds, updates or removes the assignment of an endpoint. */
    @Serializable
    @SerialName("endpoint")
    public data class Endpoint(
        val endpoint: EndpointId,
        val before: EndpointAssignment? = null,
        val after: EndpointAssignment? = null,
    ) : Change {
        override fun applyTo(state: ConfigState): ConfigState = state.copy(endpoints = state.endpoints.replace(endpoint, after))
    }
}

private fun <K, V> Map<K, V>.replace(
    key: K,
    value: V?,
): Map<K, V> = if (value == null) this - key else this + (key to value)
