package io.knapweedferry.sidecar.server

import io.knapweedferry.api.message.ServiceAnswer

/** What became of a claim in this incarnation. */
internal sealed interface ClaimEntry {
    /** Dispatched, without an answer yet. */
    data object InProgress : ClaimEntry

    /** Dispatched and answered. */
    data class Done(
        val answer: ServiceAnswer,
        val keepUntilMs: Long,
    ) : ClaimEntry

    /** Dispatched; the answer is missing or no longer kept. */
    data object Unknown : ClaimEntry

    /** Never dispatched and never to be. */
    data class Refused(
        val voided: Boolean,
    ) : ClaimEntry
}
