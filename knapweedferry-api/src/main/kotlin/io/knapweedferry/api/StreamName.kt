package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Name of a stream in the platform's append-only log. */
@Serializable
@JvmInline
public value class StreamName(
    public val value: String,
)
