package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Kind of work that a caller asks for; decides model and rank. */
@Serializable
@JvmInline
public value class WorkKind(
    public val value: String,
)
