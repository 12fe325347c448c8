package io.knapweedferry.routing.call

import io.knapweedferry.api.EndpointId

/** Conditions under which one endpoint is asked to run a request. */
public data class AttemptTerms(
    /** Any other endpoint that now has the address must not run the request. */
    val endpoint: EndpointId,
    val remainingMs: Long,
    /** 0 is the most urgent. */
    val priority: Int,
    /** True if only the prompt is to be read and its KV cache kept for another endpoint. */
    val isPrefill: Boolean = false,
    /** KV cache that another endpoint keeps for this request. */
    val kvSource: KvSourceRef? = null,
    /** Reservation that the request uses. */
    val reservation: String? = null,
    /** Last event that was delivered; the run goes on after it. */
    val lastEventId: String? = null,
)
