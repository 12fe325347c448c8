package io.knapweedferry.testing.standin.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Settings of one plain service. */
@Serializable
public data class ServiceSettings(
    val name: String,
    val port: Int,
    @SerialName("duration_ms")
    val durationMs: Long = 20,
)
