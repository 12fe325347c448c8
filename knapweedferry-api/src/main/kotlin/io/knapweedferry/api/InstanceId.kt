package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Identifies the machine that hosts an endpoint. */
@Serializable
@JvmInline
public value class InstanceId(
    public val value: String,
)
