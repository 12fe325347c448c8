package io.knapweedferry.config.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Section `[shutdown]`: maximum time that a graceful shutdown waits for requests in progress. */
@Serializable
public data class ShutdownSettings(
    @InRange(min = 0, max = 600_000)
    @SerialName("drain_timeout_ms")
    val drainTimeoutMs: Long = 30_000,
)
