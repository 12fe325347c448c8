package io.knapweedferry.config.intent

import io.knapweedferry.api.ModelName

/** Identifies one version of a model in the weight store. */
public data class ModelVersion(
    val model: ModelName,
    val version: String,
)
