package io.knapweedferry.testing.standin.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Settings of one model engine. */
@Serializable
public data class EngineSettings(
    val name: String,
    val port: Int,
    val model: String,
    val version: String = "1",
    /** Prefill, decode or mixed, as in the configuration. The engine reports its role but does not enforce it. */
    val role: String = "mixed",
    /** Network link for KV transfers from and to this engine; null for unlimited bandwidth. */
    val link: String? = null,
    val slots: Int = 20,
    @SerialName("pieces")
    val kvBlocks: Int = 60,
    @SerialName("piece_tokens")
    val kvBlockTokens: Int = 4_000,
    /** Capacity of the prefix cache, separate from the KV cache blocks. */
    @SerialName("prefix_cache_tokens")
    val prefixCacheTokens: Int = 200_000,
    /** Whether orders with a lower fencing number than an earlier one are rejected. */
    @SerialName("checks_fencing")
    val checksFencing: Boolean = true,
    /** Whether a stream is cancelled when its connection breaks; otherwise it continues until it is cancelled or finished. */
    @SerialName("cancel_on_disconnect")
    val cancelOnDisconnect: Boolean = false,
    /** Base URL advertised to other engines; the listening address if empty. */
    val url: String = "",
)
