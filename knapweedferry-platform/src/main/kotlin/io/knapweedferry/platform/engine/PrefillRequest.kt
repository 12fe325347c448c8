package io.knapweedferry.platform.engine

import kotlinx.serialization.Serializable

/** Body of `POST /prefill`: computes the KV cache of a prompt. */
@Serializable
public data class PrefillRequest(
    val id: EngineRequestId,
    val model: String,
    val prompt: String,
    /** Lower values are more urgent. */
    val priority: Int,
    val timeoutMs: Long,
)
