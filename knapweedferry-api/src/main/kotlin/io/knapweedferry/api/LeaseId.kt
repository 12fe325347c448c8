package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Identifies a time-limited reservation of decode capacity. */
@Serializable
@JvmInline
public value class LeaseId(
    public val value: String,
)
