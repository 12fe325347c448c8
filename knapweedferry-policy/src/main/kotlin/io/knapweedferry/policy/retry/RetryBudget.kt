package io.knapweedferry.policy.retry

import java.util.concurrent.atomic.AtomicLong

/**
 * Limits retries to a share of recent requests, so that retries do not multiply the load of a fleet that is failing. A token
 * bucket that requests fill and retries empty; its size bounds how far back "recent" reaches. Thread safe.
 */
public class RetryBudget(
    /** Retries allowed for each hundred requests. */
    private val percent: Int = DEFAULT_PERCENT,
    /** Retries that may be saved up; also available at the start. */
    burst: Int = DEFAULT_BURST,
) {
    private val capacity = burst.toLong() * PERCENT_PER_RETRY

    /** In hundredths of a retry, so that whole numbers suffice. */
    private val tokens = AtomicLong(capacity)

    /** Notes a new request, as opposed to a retry. */
    public fun recordRequest() {
        tokens.updateAndGet { minOf(capacity, it + percent) }
    }

    /** Takes one retry from the budget; false if none is left. */
    public fun tryRetry(): Boolean {
        val before = tokens.getAndUpdate { if (it >= PERCENT_PER_RETRY) it - PERCENT_PER_RETRY else it }
        return before >= PERCENT_PER_RETRY
    }

    /** Whole retries that are left now. */
    public fun available(): Int = (tokens.get() / PERCENT_PER_RETRY).toInt()

    public companion object {
        /** One retry for five requests raises the load of a failing fleet by a fifth at most. */
        public const val DEFAULT_PERCENT: Int = 20

        /** Lets an entry with little traffic retry after the loss of one endpoint. */
        public const val DEFAULT_BURST: Int = 20
        private const val PERCENT_PER_RETRY = 100L
    }
}
