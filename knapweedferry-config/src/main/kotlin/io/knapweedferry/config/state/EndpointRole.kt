package io.knapweedferry.config.state

import kotlinx.serialization.Serializable

/** Role of an endpoint. */
@Serializable
public enum class EndpointRole {
    PREFILL,
    DECODE,

    /** Both prefill and decode on the same engine. */
    MIXED,
    SERVICE,
}
