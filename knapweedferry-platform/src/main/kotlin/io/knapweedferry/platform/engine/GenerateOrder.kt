package io.knapweedferry.platform.engine

import kotlinx.serialization.Serializable

/** Order to generate tokens for a prompt whose cache was imported under the same id, or from the prompt itself. */
@Serializable
public data class GenerateOrder(
    val id: EngineRequestId,
    val model: String,
    val prompt: String,
    val maxOutputTokens: Int,
    /** Lower is more urgent. */
    val priority: Int,
    /** Position of the first token to produce; earlier ones were delivered before. */
    val fromPosition: Int,
)
