package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Kind of work that a caller requests; determines the model and the rank. */
@Serializable
@JvmInline
public value class WorkKind(
    public val value: String,
)
