package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Identifies one model engine or plain service. */
@Serializable
@JvmInline
public value class EndpointId(
    public val value: String,
)
