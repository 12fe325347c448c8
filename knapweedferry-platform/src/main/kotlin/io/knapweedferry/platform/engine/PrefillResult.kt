package io.knapweedferry.platform.engine

import io.knapweedferry.api.KvSource
import kotlinx.serialization.Serializable

/** A finished prefill. */
@Serializable
public data class PrefillResult(
    val source: KvSource,
    val cachedTokens: Int,
)
