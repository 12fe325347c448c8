package io.knapweedferry.platform.http

/** Timeouts and limits of [HttpTransport]. */
public data class HttpTransportSettings(
    val connectTimeoutMs: Long = 1_000,
    /** Maximum time without data in a token stream. */
    val streamIdleTimeoutMs: Long = 10_000,
    /** Maximum total duration of a token stream. */
    val streamTimeoutMs: Long = 600_000,
    /** Each concurrent call occupies a thread. Further calls are queued without a timeout. */
    val maxConcurrentCalls: Int = 1_024,
)
