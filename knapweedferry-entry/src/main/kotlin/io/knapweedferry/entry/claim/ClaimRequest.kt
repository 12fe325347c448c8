package io.knapweedferry.entry.claim

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.IdempotencyKey
import io.knapweedferry.api.Incarnation
import io.knapweedferry.api.RequestId

/** Asks for the right to dispatch work under a key once. */
internal data class ClaimRequest(
    val key: IdempotencyKey,
    val requestId: RequestId,
    /** Organisation, service and operation; one key serves only one of each. */
    val scope: String,
    val endpoint: EndpointId,
    val incarnation: Incarnation,
    val attempt: Int,
    val timeoutMs: Long,
)
