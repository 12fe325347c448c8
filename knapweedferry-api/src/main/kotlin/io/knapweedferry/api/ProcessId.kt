package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Configured name of a daemon. */
@Serializable
@JvmInline
public value class ProcessId(
    public val value: String,
)
