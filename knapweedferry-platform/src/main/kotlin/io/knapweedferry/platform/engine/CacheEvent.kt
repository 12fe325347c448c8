package io.knapweedferry.platform.engine

import kotlinx.serialization.Serializable

/** Change in an engine's prefix cache. Only a hint, because events may be delayed or missing. */
@Serializable
public data class CacheEvent(
    val sequence: Long,
    val prefixHash: String,
    val cached: Boolean,
)
