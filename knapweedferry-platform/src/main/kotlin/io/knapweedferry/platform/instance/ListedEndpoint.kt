package io.knapweedferry.platform.instance

import io.knapweedferry.api.EndpointId
import kotlinx.serialization.Serializable

/** An endpoint as the platform lists it. */
@Serializable
public data class ListedEndpoint(
    val endpoint: EndpointId,
    val kind: EndpointKind,
)
