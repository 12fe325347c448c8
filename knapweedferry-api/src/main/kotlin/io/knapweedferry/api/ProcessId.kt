package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Configured name of an entry or sidecar process. */
@Serializable
@JvmInline
public value class ProcessId(
    public val value: String,
)
