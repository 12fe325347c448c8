package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Name of one operation of a plain service. */
@Serializable
@JvmInline
public value class OperationName(
    public val value: String,
)
