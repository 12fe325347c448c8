package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Idempotency-Key of a request; required for non-repeatable operations. */
@Serializable
@JvmInline
public value class IdempotencyKey(
    public val value: String,
)
