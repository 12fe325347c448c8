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

    /** Requests the exclusive right to dispatch the work of [key], through one incarnation of a sidecar. */
    @Serializable
    @SerialName("claim")
    public data class Claim(
        override val claimId: ClaimId,
        override val key: IdempotencyKey,
        val endpoint: EndpointId,
        val incarnation: Incarnation,
        val attempt: Int,
        val requestId: RequestId,
        /** Identifies the operation that the key belongs to; reuse of the key for another operation is refused. */
        val scope: String = "",
    ) : ClaimRecord

    /** Cancels a claim that was not dispatched and never will be. */
    @Serializable
    @SerialName("void")
    public data class Void(
        override val claimId: ClaimId,
        override val key: IdempotencyKey,
        val by: ProcessId,
    ) : ClaimRecord
}
