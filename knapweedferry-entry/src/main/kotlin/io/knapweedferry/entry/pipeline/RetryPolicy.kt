package io.knapweedferry.entry.pipeline

import io.knapweedferry.api.Outcome
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.entry.observe.RequestObserver
import kotlinx.coroutines.delay
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Limits retries by a maximum of attempts for each request and by a retry budget shared by all requests of the entry. */
internal class RetryPolicy(
    private val maxAttempts: Int,
    private val limiter: RetryLimiter,
    private val random: Random,
) {
    fun requestStarted() {
        limiter.requestStarted()
    }

    /** Returns null after a random backoff if another attempt may start, else the outcome to report. */
    suspend fun awaitRetry(
        attemptNumber: Int,
        error: AttemptError.Retryable,
        observer: RequestObserver,
    ): Outcome? {
        if (attemptNumber >= maxAttempts) return error.outcome
        if (!limiter.tryRetry()) return budgetExhausted(error.outcome)
        observer.retried(error.reason, detailOf(error.outcome))
        delay(random.nextLong(BASE_BACKOFF_MS shl attemptNumber).milliseconds)
        return null
    }

    private fun detailOf(outcome: Outcome): String =
        when (outcome) {
            is Outcome.NotRun -> outcome.refusal.message
            is Outcome.Failed -> outcome.detail
            is Outcome.Unknown -> outcome.detail
            is Outcome.Completed -> ""
        }

    /** Only a request that never ran may be reported as refused; a failed one stays failed. */
    private fun budgetExhausted(outcome: Outcome): Outcome =
        if (outcome is Outcome.NotRun) Outcome.NotRun(Refusal(RefusalReason.RETRY_BUDGET, retryAfterMs = RETRY_AFTER_MS)) else outcome

    private companion object {
        const val BASE_BACKOFF_MS = 5L
        const val RETRY_AFTER_MS = 1_000L
    }
}
