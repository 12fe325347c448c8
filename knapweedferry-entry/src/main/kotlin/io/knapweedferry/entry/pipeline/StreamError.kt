package io.knapweedferry.entry.pipeline

import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.Refusal

/** Why a token stream ended without a complete, verified answer. */
internal sealed interface StreamError {
    /** The sidecar refused the request before it submitted anything to the engine. */
    data class Refused(
        val refusal: Refusal,
    ) : StreamError

    /** The sidecar reported a failure, or the answer failed verification. */
    data class Failed(
        val reason: FailureReason,
        val detail: String,
    ) : StreamError

    /** The session was lost. [neverSent] is true if the request was certainly not sent. */
    data class Lost(
        val detail: String,
        val neverSent: Boolean = false,
    ) : StreamError
}
