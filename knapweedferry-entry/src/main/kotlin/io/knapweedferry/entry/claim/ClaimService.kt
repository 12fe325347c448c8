package io.knapweedferry.entry.claim

import io.knapweedferry.api.ClaimRef

/** Decides through the log which attempt may dispatch work that must not be repeated. */
internal interface ClaimService {
    /** Claims a key for one dispatch; returns within [ClaimRequest.timeoutMs]. */
    suspend fun claim(request: ClaimRequest): ClaimDecision

    /** Voids a won claim that was certainly not dispatched and never will be; true once the void is in the log. */
    suspend fun abandon(claim: ClaimRef): Boolean

    /** Waits until the void of [claim], written by its sidecar, is visible here; false if it does not show in time. */
    suspend fun awaitVoid(
        claim: ClaimRef,
        timeoutMs: Long,
    ): Boolean
}
