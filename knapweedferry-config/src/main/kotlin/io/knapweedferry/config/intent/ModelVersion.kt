package io.knapweedferry.config.intent

import io.knapweedferry.api.ModelName

/** One version of a model, as the weight store knows it. */
public data class ModelVersion(
    val model: ModelName,
    val version: String,
)
