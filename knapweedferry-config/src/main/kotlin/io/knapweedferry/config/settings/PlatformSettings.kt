package io.knapweedferry.config.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Section `[platform]`: the external systems that every process uses. */
@Serializable
public data class PlatformSettings(
    @TextRule(TextFormat.HTTP_URL)
    @SerialName("log_url")
    val logUrl: String,
    @TextRule(TextFormat.HTTP_URL)
    @SerialName("instance_list_url")
    val instanceListUrl: String,
    @TextRule(TextFormat.HTTP_URL)
    @SerialName("weight_store_url")
    val weightStoreUrl: String,
    /** Timeout of a call, not counting the wait of a long poll. */
    @InRange(min = 10, max = 60_000)
    @SerialName("timeout_ms")
    val timeoutMs: Long = 2_000,
    @InRange(min = 0, max = 60_000)
    @SerialName("poll_wait_ms")
    val pollWaitMs: Long = 10_000,
    @InRange(min = 50, max = 60_000)
    @SerialName("instance_poll_ms")
    val instancePollMs: Long = 1_000,
)
