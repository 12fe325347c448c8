package io.knapweedferry.entry.pipeline

/** Limits retries in proportion to requests. */
internal interface RetryLimiter {
    fun requestStarted()

    /** Takes one retry; false if none is left. */
    fun tryRetry(): Boolean
}
