package io.knapweedferry.platform.instance

import io.knapweedferry.api.EndpointId
import kotlinx.serialization.Serializable

/** Endpoint of a [ListedInstance]. */
@Serializable
public data class ListedEndpoint(
    val endpoint: EndpointId,
    val kind: EndpointKind,
)
