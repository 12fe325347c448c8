package io.knapweedferry.sidecar.server

import io.knapweedferry.api.FailureReason

/** How a stream ended. */
internal sealed interface StreamOutcome {
    /** All tokens are there. */
    data class Complete(
        val tokenCount: Int,
        val finishReason: String,
    ) : StreamOutcome

    /** The stream ended early. */
    data class Failed(
        val reason: FailureReason,
        val detail: String,
    ) : StreamOutcome
}
