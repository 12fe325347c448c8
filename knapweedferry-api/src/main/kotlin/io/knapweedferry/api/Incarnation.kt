package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Random id of one life of a process; a restart has a new one. */
@Serializable
@JvmInline
public value class Incarnation(
    public val value: String,
)
