package io.knapweedferry.testing.standin.weight

import kotlinx.serialization.Serializable

/** What the weight store did so far. */
@Serializable
internal data class WeightLedger(
    val loads: Long,
    val loadedBytes: Long,
)
