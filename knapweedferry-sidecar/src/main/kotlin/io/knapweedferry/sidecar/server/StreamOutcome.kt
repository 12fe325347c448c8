package io.knapweedferry.sidecar.server

import io.knapweedferry.api.FailureReason

/** Outcome of a stream. */
internal sealed interface StreamOutcome {
    /** The engine finished and all tokens arrived. */
    data class Complete(
        val tokenCount: Int,
        val finishReason: String,
    ) : StreamOutcome

    /** The stream ended without the complete answer. */
    data class Failed(
        val reason: FailureReason,
        val detail: String,
    ) : StreamOutcome
}
