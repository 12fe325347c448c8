package io.knapweedferry.testing.standin.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Settings of the weight store. */
@Serializable
public data class WeightStoreSettings(
    val port: Int,
    /** Total bandwidth, shared by all engines that load at the same time. */
    @SerialName("rate_bytes_per_second")
    val rateBytesPerSecond: Long = 1_000_000_000,
)
