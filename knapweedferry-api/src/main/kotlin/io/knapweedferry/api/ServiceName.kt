package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Name of a service that is not a model engine. */
@Serializable
@JvmInline
public value class ServiceName(
    public val value: String,
)
