package io.knapweedferry.platform.engine

import kotlinx.serialization.Serializable

/** Body of `POST /generate`. Uses the KV cache imported under the same [id], or computes it from the prompt if there is none. */
@Serializable
public data class GenerateRequest(
    val id: EngineRequestId,
    val model: String,
    val prompt: String,
    val maxOutputTokens: Int,
    /** Lower values are more urgent. */
    val priority: Int,
    /** Position of the first token to generate; nonzero when a partly delivered response is resumed. */
    val fromPosition: Int,
)
