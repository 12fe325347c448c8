package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Name of an operator, as recorded with each change. */
@Serializable
@JvmInline
public value class OperatorName(
    public val value: String,
)
