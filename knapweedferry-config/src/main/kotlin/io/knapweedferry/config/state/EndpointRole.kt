package io.knapweedferry.config.state

import kotlinx.serialization.Serializable

/** Part that an endpoint plays. */
@Serializable
public enum class EndpointRole {
    PREFILL,
    DECODE,

    /** Prefills and decodes on the same engine. */
    MIXED,
    SERVICE,
}
