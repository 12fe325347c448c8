package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Key that a caller gives to work that may not be repeated. */
@Serializable
@JvmInline
public value class IdempotencyKey(
    public val value: String,
)
