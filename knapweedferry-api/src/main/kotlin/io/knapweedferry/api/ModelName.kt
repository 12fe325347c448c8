package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Name of a model as callers and operators write it. */
@Serializable
@JvmInline
public value class ModelName(
    public val value: String,
)
