package io.knapweedferry.platform.weight

import kotlinx.serialization.Serializable

/** Size of one version of a model and the rate at which the store gives it out. */
@Serializable
public data class WeightInfo(
    val sizeBytes: Long,
    val rateBytesPerSecond: Long,
)
