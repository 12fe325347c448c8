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
    /** As the configuration names it: prefill, decode or mixed. The engine reports it and does not enforce it. */
    val role: String = "mixed",
    /** Link that transfers from and to this engine use; without one they take no time. */
    val link: String? = null,
    val slots: Int = 20,
    @SerialName("pieces")
    val kvBlocks: Int = 60,
    @SerialName("piece_tokens")
    val kvBlockTokens: Int = 4_000,
    /** Capacity of the prefix cache, separate from the KV cache blocks. */
    @SerialName("prefix_cache_tokens")
    val prefixCacheTokens: Int = 200_000,
    /** Whether orders with an older fencing number are refused. */
    @SerialName("checks_fencing")
    val checksFencing: Boolean = true,
    /** Whether a stream is cancelled when its connection breaks; otherwise it runs on until it is cancelled or finished. */
    @SerialName("cancel_on_disconnect")
    val cancelOnDisconnect: Boolean = false,
    /** Base URL that other engines are told; the listening address if empty. */
    val url: String = "",
)
