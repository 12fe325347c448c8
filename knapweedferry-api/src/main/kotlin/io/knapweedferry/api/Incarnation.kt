package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Random id of a process run; each restart generates a new one. */
@Serializable
@JvmInline
public value class Incarnation(
    public val value: String,
)
