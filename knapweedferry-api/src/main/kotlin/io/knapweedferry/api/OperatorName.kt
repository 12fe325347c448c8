package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Name of an operator; recorded with every configuration change. */
@Serializable
@JvmInline
public value class OperatorName(
    public val value: String,
)
