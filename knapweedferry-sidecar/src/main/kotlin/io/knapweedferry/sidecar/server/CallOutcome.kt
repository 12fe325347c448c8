package io.knapweedferry.sidecar.server

import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.message.ServiceAnswer

/** Outcome of a service call. */
internal sealed interface CallOutcome {
    data class Answered(
        val answer: ServiceAnswer,
    ) : CallOutcome

    /** The call failed and may have taken effect. */
    data class Failed(
        val reason: FailureReason,
        val detail: String,
    ) : CallOutcome

    /** The call never reached the service, so it had no effect. */
    data class NotSent(
        val refusal: Refusal,
    ) : CallOutcome
}
