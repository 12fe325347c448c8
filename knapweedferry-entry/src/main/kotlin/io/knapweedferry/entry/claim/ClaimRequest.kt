package io.knapweedferry.entry.claim

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.IdempotencyKey
import io.knapweedferry.api.Incarnation
import io.knapweedferry.api.RequestId

/** Request for the exclusive right to dispatch a call under an idempotency key. */
internal data class ClaimRequest(
    val key: IdempotencyKey,
    val requestId: RequestId,
    /** Organisation, service and operation. A key is bound to the scope in which it was first used. */
    val scope: String,
    val endpoint: EndpointId,
    val incarnation: Incarnation,
    val attempt: Int,
    val timeoutMs: Long,
)
