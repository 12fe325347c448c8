package io.knapweedferry.entry.pipeline

import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.Refusal

/** Why a call of a service gave no answer. */
internal sealed interface InvokeEnd {
    /** The sidecar, or a connection that was never made, proves that nothing was dispatched. */
    data class NotDispatched(
        val refusal: Refusal,
    ) : InvokeEnd

    /** The service may have taken the call. */
    data class MaybeDispatched(
        val reason: FailureReason,
        val detail: String,
    ) : InvokeEnd
}
