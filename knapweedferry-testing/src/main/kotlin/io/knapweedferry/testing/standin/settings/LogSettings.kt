package io.knapweedferry.testing.standin.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Settings of the append-only log. */
@Serializable
public data class LogSettings(
    val port: Int,
    /** Limit on append requests per second over all streams, regardless of the number of payloads in a request. */
    @SerialName("appends_per_second")
    val appendsPerSecond: Double = 300.0,
    /** An append that the rate limit would delay longer is rejected. */
    @SerialName("max_wait_ms")
    val maxWaitMs: Long = 1_000,
    @SerialName("retention_ms")
    val retentionMs: Long = 600_000,
    @SerialName("append_ms")
    val appendMs: Long = 3,
    @SerialName("max_append_bytes")
    val maxAppendBytes: Int = 1_000_000,
)
