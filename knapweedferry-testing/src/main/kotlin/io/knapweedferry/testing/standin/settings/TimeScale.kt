package io.knapweedferry.testing.standin.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Durations and sizes that all engines share. */
@Serializable
public data class TimeScale(
    @SerialName("prefill_ms_per_1000_tokens")
    val prefillMsPer1000Tokens: Double = 60.0,
    /** Time between tokens of a stream that runs alone. */
    @SerialName("base_token_ms")
    val baseTokenMs: Double = 8.0,
    /** Growth of the time between tokens for each further stream in the batch. */
    @SerialName("token_ms_per_stream")
    val tokenMsPerStream: Double = 0.4,
    /** Factor on the time between tokens while the same engine prefills. */
    @SerialName("prefill_interference")
    val prefillInterference: Double = 2.0,
    @SerialName("kv_bytes_per_token")
    val kvBytesPerToken: Long = 100_000,
    /** Life of an exported KV cache that nobody imports. */
    @SerialName("export_ttl_ms")
    val exportTtlMs: Long = 800,
    @SerialName("load_lag_ms")
    val loadLagMs: Long = 200,
    @SerialName("cache_event_lag_ms")
    val cacheEventLagMs: Long = 300,
    /** Part of the cache events that is lost. */
    @SerialName("cache_event_loss")
    val cacheEventLoss: Double = 0.1,
    /** Time to change adapter or role without loading weights. */
    @SerialName("adapter_load_ms")
    val adapterLoadMs: Long = 200,
)
