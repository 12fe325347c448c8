package io.knapweedferry.entry.claim

import io.knapweedferry.api.ClaimRef

/** Determines, by the order of the log, which attempt may dispatch a call that must not be repeated. */
internal interface ClaimService {
    /** Claims an idempotency key for one dispatch; returns within [ClaimRequest.timeoutMs]. */
    suspend fun claim(request: ClaimRequest): ClaimDecision

    /**
     * Voids a won claim whose call was certainly not dispatched and never will be. Returns true once the void record was read
     * back from the log; false means that the claim may still hold the key.
     */
    suspend fun abandon(claim: ClaimRef): Boolean

    /** Waits until this entry has read the void record that the sidecar of [claim] appended; false on timeout. */
    suspend fun awaitVoid(
        claim: ClaimRef,
        timeoutMs: Long,
    ): Boolean
}
