package io.knapweedferry.platform.engine

import kotlinx.serialization.Serializable

/** Order to compute the KV cache of a prompt. */
@Serializable
public data class PrefillOrder(
    val id: EngineRequestId,
    val model: String,
    val prompt: String,
    /** Lower is more urgent. */
    val priority: Int,
    val timeoutMs: Long,
)
