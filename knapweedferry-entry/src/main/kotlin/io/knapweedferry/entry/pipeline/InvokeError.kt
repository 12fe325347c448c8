package io.knapweedferry.entry.pipeline

import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.Refusal

/** Why a service call returned no answer. */
internal sealed interface InvokeError {
    /** The call certainly did not reach the service: the sidecar refused it, or no connection was made. */
    data class NotDispatched(
        val refusal: Refusal,
    ) : InvokeError

    /** The service may have processed the call. */
    data class MaybeDispatched(
        val reason: FailureReason,
        val detail: String,
    ) : InvokeError
}
