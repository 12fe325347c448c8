package io.knapweedferry.testing.standin.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Network link whose bandwidth is shared by KV transfers. */
@Serializable
public data class LinkSettings(
    val name: String,
    @SerialName("rate_bytes_per_second")
    val rateBytesPerSecond: Long,
)
