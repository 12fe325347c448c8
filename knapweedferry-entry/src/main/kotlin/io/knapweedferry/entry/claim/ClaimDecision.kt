package io.knapweedferry.entry.claim

import io.knapweedferry.api.ClaimRef
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.UnknownReason

/** Answer to a [ClaimRequest]. */
internal sealed interface ClaimDecision {
    /** The caller of the claim service, and nobody else, may dispatch. */
    data class Won(
        val claim: ClaimRef,
    ) : ClaimDecision

    /** An earlier claim stands; its sidecar knows what became of it. */
    data class HeldBy(
        val claim: ClaimRef,
        val endpoint: EndpointId,
    ) : ClaimDecision

    /** No claim was made, so nothing runs. */
    data class NotClaimed(
        val refusal: Refusal,
    ) : ClaimDecision

    /** Whether the work ran under this key cannot be told. */
    data class Undecidable(
        val reason: UnknownReason,
        val detail: String,
    ) : ClaimDecision
}
