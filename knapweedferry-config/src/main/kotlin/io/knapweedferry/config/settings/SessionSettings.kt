package io.knapweedferry.config.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Section `[session]` of an entry: connections to sidecars. */
@Serializable
public data class SessionSettings(
    @TextRule(TextFormat.FILE)
    @SerialName("key_file")
    val keyFile: String,
    @InRange(min = 20, max = 60_000)
    @SerialName("heartbeat_interval_ms")
    val heartbeatIntervalMs: Long = 500,
    @InRange(min = 50, max = 300_000)
    @SerialName("heartbeat_timeout_ms")
    val heartbeatTimeoutMs: Long = 2_000,
    @InRange(min = 1_024, max = 16_777_216)
    @SerialName("max_frame_bytes")
    val maxFrameBytes: Int = 1_048_576,
    @InRange(min = 10, max = 60_000)
    @SerialName("connect_timeout_ms")
    val connectTimeoutMs: Long = 1_000,
)
