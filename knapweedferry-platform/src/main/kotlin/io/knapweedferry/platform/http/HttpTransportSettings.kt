package io.knapweedferry.platform.http

/** Limits of [HttpTransport]. */
public data class HttpTransportSettings(
    val connectTimeoutMs: Long = 1_000,
    /** Longest silence inside a stream of tokens. */
    val streamIdleTimeoutMs: Long = 10_000,
    /** Longest duration of a stream of tokens. */
    val streamTimeoutMs: Long = 600_000,
    /** Each running call occupies a thread; further calls wait in a queue without a timeout. */
    val maxCalls: Int = 1_024,
    val idleConnections: Int = 8,
    /** Shorter than the idle timeout of usual servers, so that a kept connection is rarely closed by the other side. */
    val keepAliveMs: Long = 10_000,
)
