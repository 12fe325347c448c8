package io.knapweedferry.testing.standin.weight

import kotlinx.serialization.Serializable

/** Counters of the weight store since its start. */
@Serializable
internal data class WeightStoreStatistics(
    val loads: Long,
    val loadedBytes: Long,
)
