package io.knapweedferry.platform.engine

import io.knapweedferry.api.KvSource
import kotlinx.serialization.Serializable

/** Result of a completed prefill. */
@Serializable
public data class PrefillResult(
    val source: KvSource,
    /** Prompt tokens that were in the prefix cache and not computed again. */
    val cachedTokens: Int,
)
