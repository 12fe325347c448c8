package io.knapweedferry.platform.instance

import kotlinx.serialization.Serializable

/** What an endpoint is. */
@Serializable
public enum class EndpointKind {
    ENGINE,
    SERVICE,
}
