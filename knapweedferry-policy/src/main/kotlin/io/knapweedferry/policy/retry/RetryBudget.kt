package io.knapweedferry.policy.retry

import java.util.concurrent.atomic.AtomicLong

/**
 * Token bucket that limits retries to a percentage of recent requests, so that retries do not multiply the load on a
 * failing fleet. Requests add tokens and retries consume them; the bucket size bounds how far back "recent" reaches. Thread
 * safe.
 */
public class RetryBudget(
    /** Retries allowed per hundred requests. */
    private val percent: Int = DEFAULT_PERCENT,
    /** Maximum number of accumulated retries; also the initial number. */
    burst: Int = DEFAULT_BURST,
) {
    private val capacity = burst.toLong() * TOKENS_PER_RETRY

    /** In hundredths of a retry, which allows integer arithmetic. */
    private val tokens = AtomicLong(capacity)

    /** Records an original request, not a retry. */
    public fun recordRequest() {
        tokens.updateAndGet { minOf(capacity, it + percent) }
    }

    /** Consumes one retry; returns false if none is left. */
    public fun tryRetry(): Boolean {
        val before = tokens.getAndUpdate { if (it >= TOKENS_PER_RETRY) it - TOKENS_PER_RETRY else it }
        return before >= TOKENS_PER_RETRY
    }

    /** Number of whole retries left. */
    public fun available(): Int = (tokens.get() / TOKENS_PER_RETRY).toInt()

    public companion object {
        /** One retry per five requests raises the load on a failing fleet by at most a fifth. */
        public const val DEFAULT_PERCENT: Int = 20

        /** Lets an entry with little traffic retry after the loss of one endpoint. */
        public const val DEFAULT_BURST: Int = 20
        private const val TOKENS_PER_RETRY = 100L
    }
}
