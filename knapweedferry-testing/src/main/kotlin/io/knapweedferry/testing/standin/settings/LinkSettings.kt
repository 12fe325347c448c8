package io.knapweedferry.testing.standin.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A link that KV transfers share. */
@Serializable
public data class LinkSettings(
    val name: String,
    @SerialName("rate_bytes_per_second")
    val rateBytesPerSecond: Long,
)
