package io.knapweedferry.platform.http

/** Timeouts and limits of [HttpTransport]. */
public data class HttpTransportSettings(
    val connectTimeoutMs: Long = 1_000,
    /** Maximum time without data in a token stream. */
    val streamIdleTimeoutMs: Long = 10_000,
    /** Maximum total duration of a token stream. */
    val streamTimeoutMs: Long = 600_000,
    /** Maximum number of concurrent calls; each occupies a thread. Further calls are queued without a timeout. */
    val maxCalls: Int = 1_024,
    val idleConnections: Int = 8,
    /** Shorter than the idle timeout of common servers, so that the other side rarely closes a connection just before its reuse. */
    val keepAliveMs: Long = 10_000,
)
