package io.knapweedferry.policy.claim

import io.knapweedferry.api.ClaimId
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.IdempotencyKey
import io.knapweedferry.api.Incarnation
import io.knapweedferry.api.ProcessId
import io.knapweedferry.api.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Record of a claim stream. */
@Serializable
public sealed interface ClaimRecord {
    public val claimId: ClaimId
    public val key: IdempotencyKey

    /** Asks for the right to dispatch the work of [key] once, through one incarnation of a sidecar. */
    @Serializable
    @SerialName("claim")
    public data class Claim(
        override val claimId: ClaimId,
        override val key: IdempotencyKey,
        val endpoint: EndpointId,
        val incarnation: Incarnation,
        val attempt: Int,
        val requestId: RequestId,
        /** What the key was used for; a key that comes back for anything else is refused. */
        val scope: String = "",
    ) : ClaimRecord

    /** States that the claim was never dispatched and never will be. */
    @Serializable
    @SerialName("void")
    public data class Void(
        override val claimId: ClaimId,
        override val key: IdempotencyKey,
        val by: ProcessId,
    ) : ClaimRecord
}
