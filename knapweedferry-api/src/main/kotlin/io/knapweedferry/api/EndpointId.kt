package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Identifies an endpoint: a model engine or another service. */
@Serializable
@JvmInline
public value class EndpointId(
    public val value: String,
)
