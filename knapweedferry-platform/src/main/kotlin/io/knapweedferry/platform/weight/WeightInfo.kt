package io.knapweedferry.platform.weight

/** Size of one version of a model and the rate at which the store gives it out. */
public data class WeightInfo(
    val sizeBytes: Long,
    val rateBytesPerSecond: Long,
)
