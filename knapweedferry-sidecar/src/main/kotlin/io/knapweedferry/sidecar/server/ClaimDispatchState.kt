package io.knapweedferry.sidecar.server

import io.knapweedferry.api.message.ServiceAnswer

/** State of a claim in this incarnation. */
internal sealed interface ClaimDispatchState {
    /** Dispatched; the service has not answered yet. */
    data object InProgress : ClaimDispatchState

    /** Dispatched and answered. */
    data class Done(
        val answer: ServiceAnswer,
        val retainUntilMs: Long,
    ) : ClaimDispatchState

    /** Dispatched; the answer never arrived or is no longer retained. */
    data object Unknown : ClaimDispatchState

    /** Not dispatched, and never will be. */
    data class Refused(
        val voided: Boolean,
    ) : ClaimDispatchState
}
