package io.knapweedferry.entry.pipeline

import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.Outcome
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RetryReason

/** Why an attempt ended without a complete answer. */
internal sealed interface AttemptError {
    /** Another attempt may succeed. [outcome] is reported to the caller if no further attempt is made. */
    data class Retryable(
        val reason: RetryReason,
        val outcome: Outcome,
    ) : AttemptError

    /** Another attempt would have the same outcome. */
    data class Terminal(
        val outcome: Outcome,
    ) : AttemptError

    companion object {
        fun retryableRefusal(
            reason: RetryReason,
            refusal: Refusal,
        ) = Retryable(reason, Outcome.NotRun(refusal))

        fun retryableFailure(
            reason: RetryReason,
            failure: FailureReason,
            detail: String,
        ) = Retryable(reason, Outcome.Failed(failure, detail))
    }
}
