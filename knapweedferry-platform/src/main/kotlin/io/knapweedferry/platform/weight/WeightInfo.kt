package io.knapweedferry.platform.weight

import kotlinx.serialization.Serializable

/** Size of the weights of a model version and the rate at which the store serves them. */
@Serializable
public data class WeightInfo(
    val sizeBytes: Long,
    val rateBytesPerSecond: Long,
)
