package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Name of a plain service. */
@Serializable
@JvmInline
public value class ServiceName(
    public val value: String,
)
