package io.knapweedferry.sidecar.server

import io.knapweedferry.api.message.ServiceAnswer

/** State of a claim in this incarnation. */
internal sealed interface ClaimEntry {
    /** Dispatched; the service has not answered yet. */
    data object InProgress : ClaimEntry

    /** Dispatched and answered. */
    data class Done(
        val answer: ServiceAnswer,
        val keepUntilMs: Long,
    ) : ClaimEntry

    /** Dispatched; the answer never arrived or is no longer retained. */
    data object Unknown : ClaimEntry

    /** Not dispatched, and never will be. */
    data class Refused(
        val voided: Boolean,
    ) : ClaimEntry
}
