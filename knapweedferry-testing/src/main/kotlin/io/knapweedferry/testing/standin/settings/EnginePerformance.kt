package io.knapweedferry.testing.standin.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Simulated performance of all engines: processing times, cache sizes and delays. */
@Serializable
public data class EnginePerformance(
    @SerialName("prefill_ms_per_1000_tokens")
    val prefillMsPer1000Tokens: Double = 60.0,
    /** Inter-token time of a batch of one stream. */
    @SerialName("base_token_ms")
    val baseTokenMs: Double = 8.0,
    /** Increase of the inter-token time for each further stream in the batch. */
    @SerialName("token_ms_per_stream")
    val tokenMsPerStream: Double = 0.4,
    /** Factor on the inter-token time while the engine runs a prefill. */
    @SerialName("prefill_interference")
    val prefillInterference: Double = 2.0,
    @SerialName("kv_bytes_per_token")
    val kvBytesPerToken: Long = 100_000,
    /** Time after which an exported KV cache is evicted if it is not imported. */
    @SerialName("export_ttl_ms")
    val exportTtlMs: Long = 800,
    @SerialName("load_lag_ms")
    val loadLagMs: Long = 200,
    @SerialName("cache_event_lag_ms")
    val cacheEventLagMs: Long = 300,
    /** Share of cache events that are dropped, from 0 to 1. */
    @SerialName("cache_event_loss")
    val cacheEventLoss: Double = 0.1,
    /** Time to change the adapter or role if no weights need to be loaded. */
    @SerialName("adapter_load_ms")
    val adapterLoadMs: Long = 200,
)
