package io.knapweedferry.sidecar.server

import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.message.ServiceAnswer

/** How a service call ended. */
internal sealed interface CallOutcome {
    /** The service answered. */
    data class Answered(
        val answer: ServiceAnswer,
    ) : CallOutcome

    /** The call may have taken effect. */
    data class Failed(
        val reason: FailureReason,
        val detail: String,
    ) : CallOutcome

    /** The call surely had no effect. */
    data class NotSent(
        val refusal: Refusal,
    ) : CallOutcome
}
