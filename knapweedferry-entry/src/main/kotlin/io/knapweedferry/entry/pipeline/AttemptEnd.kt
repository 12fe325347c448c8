package io.knapweedferry.entry.pipeline

import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.Outcome
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RetryReason

/** Why an attempt ended without the whole answer. */
internal sealed interface AttemptEnd {
    /** Another attempt may succeed. [outcome] is what the caller is told if none is made. */
    data class Retry(
        val reason: RetryReason,
        val outcome: Outcome,
    ) : AttemptEnd

    /** No attempt can change the outcome. */
    data class Final(
        val outcome: Outcome,
    ) : AttemptEnd

    companion object {
        fun retryRefused(
            reason: RetryReason,
            refusal: Refusal,
        ) = Retry(reason, Outcome.NotRun(refusal))

        fun retryFailed(
            reason: RetryReason,
            failure: FailureReason,
            detail: String,
        ) = Retry(reason, Outcome.Failed(failure, detail))
    }
}
