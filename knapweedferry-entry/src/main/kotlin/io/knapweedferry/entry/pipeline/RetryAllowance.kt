package io.knapweedferry.entry.pipeline

/** Share of requests that may be retried. */
internal interface RetryAllowance {
    fun requestStarted()

    fun tryRetry(): Boolean
}
