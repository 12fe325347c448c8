package io.knapweedferry.testing.standin.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Version of a model in the weight store. */
@Serializable
public data class WeightSettings(
    val model: String,
    val version: String,
    @SerialName("size_bytes")
    val sizeBytes: Long,
)
