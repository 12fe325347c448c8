package io.knapweedferry.entry.pipeline

import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.Refusal

/** Why a stream of tokens ended without a proved end. */
internal sealed interface StreamEnd {
    /** The sidecar refused before it submitted anything. */
    data class Refused(
        val refusal: Refusal,
    ) : StreamEnd

    /** The sidecar or the check of the answer says that the attempt failed. */
    data class Failed(
        val reason: FailureReason,
        val detail: String,
    ) : StreamEnd

    /** The session ended. */
    data class Lost(
        val detail: String,
        val neverSent: Boolean = false,
    ) : StreamEnd
}
