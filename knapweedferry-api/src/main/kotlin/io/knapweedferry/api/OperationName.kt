package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Name of an operation of a service. */
@Serializable
@JvmInline
public value class OperationName(
    public val value: String,
)
