package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Name of a model in requests and in the configuration. */
@Serializable
@JvmInline
public value class ModelName(
    public val value: String,
)
