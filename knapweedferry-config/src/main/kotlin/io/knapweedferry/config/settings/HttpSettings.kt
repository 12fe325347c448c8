package io.knapweedferry.config.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Section `[http]` of an entry: the HTTP API for callers and operators. */
@Serializable
public data class HttpSettings(
    @TextRule(TextFormat.IP_PORT)
    val address: String,
    @InRange(min = 1_024, max = 67_108_864)
    @SerialName("max_body_bytes")
    val maxBodyBytes: Long = 4_194_304,
    @InRange(min = 1, max = 100_000)
    @SerialName("max_in_flight")
    val maxInFlight: Int = 2_000,
    /** Maximum time that a write to a caller may make no progress. */
    @InRange(min = 100, max = 600_000)
    @SerialName("write_timeout_ms")
    val writeTimeoutMs: Long = 10_000,
)
