package io.knapweedferry.config.state

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ModelName
import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.Rank
import io.knapweedferry.api.ServiceName
import io.knapweedferry.api.WorkKind
import kotlinx.serialization.Serializable

/** Complete configuration set by operators. Immutable; every change creates a new instance. */
@Serializable
public data class ConfigState(
    val models: Map<ModelName, ModelPolicy> = emptyMap(),
    val services: Map<ServiceName, ServicePolicy> = emptyMap(),
    val work: Map<WorkKind, WorkPolicy> = emptyMap(),
    val ranks: Map<Rank, RankPolicy> = emptyMap(),
    val organisations: Map<OrganisationId, OrganisationPolicy> = emptyMap(),
    val endpoints: Map<EndpointId, EndpointAssignment> = emptyMap(),
)
