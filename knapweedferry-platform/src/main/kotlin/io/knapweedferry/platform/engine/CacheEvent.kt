package io.knapweedferry.platform.engine

import kotlinx.serialization.Serializable

/** A change of the prefix cache of an engine; a hint, because events are late and have gaps. */
@Serializable
public data class CacheEvent(
    val sequence: Long,
    val prefixHash: String,
    val cached: Boolean,
)
