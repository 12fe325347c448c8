package io.knapweedferry.entry.claim

import io.knapweedferry.api.ClaimRef
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.UnknownReason

/** Result of a [ClaimRequest]. Traces record its `toString`, so the names of types and properties are part of the trace. */
internal sealed interface ClaimDecision {
    /** The requester holds the claim and is the only one that may dispatch. */
    data class Won(
        val claim: ClaimRef,
    ) : ClaimDecision

    /** An earlier claim holds the key; the sidecar of [endpoint] can report its outcome. */
    data class HeldBy(
        val claim: ClaimRef,
        val endpoint: EndpointId,
    ) : ClaimDecision

    /** No claim was made, so nothing was dispatched. */
    data class NotClaimed(
        val refusal: Refusal,
    ) : ClaimDecision

    /** It cannot be determined whether a call under this key ran. */
    data class Undecidable(
        val reason: UnknownReason,
        val detail: String,
    ) : ClaimDecision
}
