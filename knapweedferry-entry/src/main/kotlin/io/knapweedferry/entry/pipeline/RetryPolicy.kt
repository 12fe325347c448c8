package io.knapweedferry.entry.pipeline

import io.knapweedferry.api.Outcome
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.api.RetryReason
import kotlinx.coroutines.delay
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Limits retries by a maximum of attempts for each request and by a retry budget shared by all requests of the entry. */
internal class RetryPolicy(
    private val maxAttempts: Int,
    private val limiter: RetryLimiter,
    private val random: Random,
) {
    /** Counts a new request; the result decides about its retries. */
    fun requestStarted(): RequestRetries {
        limiter.requestStarted()
        return RequestRetries()
    }

    /** Retries of one request. */
    inner class RequestRetries {
        private var chargedAttempts = 0
        private var leavingRefusals = 0

        /** Returns null after a random backoff if another attempt may start, else the outcome to report. */
        suspend fun await(
            error: AttemptError.Retryable,
            onRetry: (reason: RetryReason, detail: String) -> Unit,
        ): Outcome? {
            if (!isFree(error.outcome)) {
                if (++chargedAttempts >= maxAttempts) return error.outcome
                if (!limiter.tryRetry()) return budgetExhausted(error.outcome)
            }
            onRetry(error.reason, detailOf(error.outcome))
            delay(random.nextLong(BASE_BACKOFF_MS shl (chargedAttempts + leavingRefusals)).milliseconds)
            return null
        }

        /**
         * An attempt that a leaving endpoint refused has not run and costs the fleet nothing; a drain must not leave a request without
         * the retry that it needs elsewhere. The number is bounded, because an endpoint may refuse forever.
         */
        private fun isFree(outcome: Outcome): Boolean {
            if (outcome !is Outcome.NotRun || outcome.refusal.reason != RefusalReason.ENDPOINT_LEAVING) return false
            if (leavingRefusals >= MAX_LEAVING_REFUSALS) return false
            leavingRefusals++
            return true
        }
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

        /** A rolling restart drains one endpoint after another; more refusals than this in one request point to another fault. */
        const val MAX_LEAVING_REFUSALS = 3
    }
}
