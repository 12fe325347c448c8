package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Identifies one request of a caller; the same across retries and entries. */
@Serializable
@JvmInline
public value class RequestId(
    public val value: String,
)
