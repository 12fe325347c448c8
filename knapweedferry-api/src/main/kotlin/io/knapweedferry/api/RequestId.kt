package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Identifies a request of a caller. Retries keep the id, including those through another entry. */
@Serializable
@JvmInline
public value class RequestId(
    public val value: String,
)
