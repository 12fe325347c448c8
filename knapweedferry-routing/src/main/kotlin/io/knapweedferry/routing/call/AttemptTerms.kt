package io.knapweedferry.routing.call

import io.knapweedferry.api.EndpointId

/** Parameters of one attempt, sent to the endpoint along with the request. */
public data class AttemptTerms(
    /** Endpoint that the request is for; another one that has taken over its address must not run the request. */
    val endpoint: EndpointId,
    /** Time left for the response. */
    val remainingMs: Long,
    /** 0 is the most urgent. */
    val priority: Int,
    /** True if the endpoint should only process the prompt and keep its KV cache for another endpoint. */
    val isPrefill: Boolean = false,
    /** KV cache that another endpoint holds for this request. */
    val kvSource: KvSourceRef? = null,
    /** Id of the KV cache reservation that the request uses. */
    val reservation: String? = null,
    /** Id of the last event that was delivered; the run resumes after it. */
    val lastEventId: String? = null,
    /** Null if the configuration has no organisations; headers about the identity of the caller are forwarded unmodified then. */
    val identity: CallerIdentity? = null,
)
