package io.knapweedferry.policy.routing

/** Load of one endpoint, or a part of that load. */
public data class EndpointLoad(
    /** Running and queued requests. */
    val requests: Double,
    /** KV cache tokens that running and queued requests need. */
    val kvTokens: Double,
    /** Prompt tokens whose prefill is not done yet. */
    val pendingPrefillTokens: Double,
) {
    public operator fun plus(other: EndpointLoad): EndpointLoad =
        EndpointLoad(requests + other.requests, kvTokens + other.kvTokens, pendingPrefillTokens + other.pendingPrefillTokens)

    public companion object {
        /** Load of an idle endpoint. */
        public val NONE: EndpointLoad = EndpointLoad(0.0, 0.0, 0.0)
    }
}
