package io.knapweedferry.platform.engine

import io.knapweedferry.api.KvSource

/** A finished prefill. */
public data class PrefillResult(
    val source: KvSource,
    val cachedTokens: Int,
)
