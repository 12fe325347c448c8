package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Where a decode engine fetches the KV cache of a finished prefill. */
@Serializable
public data class KvSource(
    val handle: KvHandle,
    /** Base URL of the engine that exports the cache. */
    val engineUrl: String,
    val promptTokens: Int,
)
