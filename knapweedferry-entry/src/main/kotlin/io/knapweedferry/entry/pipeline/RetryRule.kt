package io.knapweedferry.entry.pipeline

import io.knapweedferry.api.Outcome
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.entry.observe.RequestObserver
import kotlinx.coroutines.delay
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Decides whether a request gets another attempt: few per request, and few per entry in relation to its requests. */
internal class RetryRule(
    private val maxAttempts: Int,
    private val budget: RetryAllowance,
    private val random: Random,
) {
    fun requestStarted() {
        budget.requestStarted()
    }

    /** Null after a short pause if the next attempt may start, else the outcome to report. */
    suspend fun mayRetry(
        attemptNumber: Int,
        end: AttemptEnd.Retry,
        observer: RequestObserver,
    ): Outcome? {
        if (attemptNumber >= maxAttempts) return end.outcome
        if (!budget.tryRetry()) return overBudget(end.outcome)
        observer.retried(end.reason, detailOf(end.outcome))
        delay(random.nextLong(BASE_PAUSE_MS shl attemptNumber).milliseconds)
        return null
    }

    private fun detailOf(outcome: Outcome): String =
        when (outcome) {
            is Outcome.NotRun -> outcome.refusal.message
            is Outcome.Failed -> outcome.detail
            is Outcome.Unknown -> outcome.detail
            is Outcome.Completed -> ""
        }

    /** A failed attempt stays failed; only a request that was never run may be reported as refused. */
    private fun overBudget(outcome: Outcome): Outcome =
        if (outcome is Outcome.NotRun) Outcome.NotRun(Refusal(RefusalReason.RETRY_BUDGET, retryAfterMs = RETRY_AFTER_MS)) else outcome

    private companion object {
        const val BASE_PAUSE_MS = 5L
        const val RETRY_AFTER_MS = 1_000L
    }
}
