package io.knapweedferry.entry.pipeline

import io.knapweedferry.api.RequestId

/** What arrived from a caller, before anything was checked. */
internal data class CallerRequest(
    val requestId: RequestId,
    val bearerToken: String?,
    val body: String,
    val idempotencyKey: String? = null,
    val lastEventId: String? = null,
)
