package io.knapweedferry.entry.pipeline

import io.knapweedferry.api.RequestId

/** A request as received from a caller, not yet authenticated or validated. */
internal data class CallerRequest(
    val requestId: RequestId,
    val bearerToken: String?,
    val body: String,
    val idempotencyKey: String? = null,
    val lastEventId: String? = null,
)
