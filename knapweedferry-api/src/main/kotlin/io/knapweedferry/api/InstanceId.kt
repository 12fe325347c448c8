package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Identifies the machine that an endpoint runs on. */
@Serializable
@JvmInline
public value class InstanceId(
    public val value: String,
)
