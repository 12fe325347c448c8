package io.knapweedferry.platform.instance

import kotlinx.serialization.Serializable

/** Type of an endpoint: an inference engine or a plain HTTP service. */
@Serializable
public enum class EndpointKind {
    ENGINE,
    SERVICE,
}
