package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Location from which a decode engine imports the KV cache of a completed prefill. */
@Serializable
public data class KvSource(
    val handle: KvHandle,
    /** Base URL of the engine that exports the cache. */
    val engineUrl: String,
    val promptTokens: Int,
)
