package io.knapweedferry.testing.standin.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Settings of the instance list. */
@Serializable
public data class InstanceListSettings(
    val port: Int,
    @SerialName("lag_ms")
    val lagMs: Long = 1_000,
)
