package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Identifies a KV cache that an engine holds for transfer to another engine. */
@Serializable
@JvmInline
public value class KvHandle(
    public val value: String,
)
