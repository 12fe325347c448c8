package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Names a KV cache that an engine keeps for export. */
@Serializable
@JvmInline
public value class KvHandle(
    public val value: String,
)
