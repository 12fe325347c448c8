package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Name of an availability zone. */
@Serializable
@JvmInline
public value class AvailabilityZone(
    public val value: String,
)
