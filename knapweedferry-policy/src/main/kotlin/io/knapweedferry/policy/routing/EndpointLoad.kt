package io.knapweedferry.policy.routing

/** Work that one endpoint is known to have. */
public data class EndpointLoad(
    val requests: Double,
    /** Tokens of the KV cache that running and waiting requests need. */
    val kvTokens: Double,
    /** Prompt tokens that are not read yet. */
    val unreadTokens: Double,
) {
    public operator fun plus(other: EndpointLoad): EndpointLoad =
        EndpointLoad(requests + other.requests, kvTokens + other.kvTokens, unreadTokens + other.unreadTokens)

    public companion object {
        public val NONE: EndpointLoad = EndpointLoad(0.0, 0.0, 0.0)
    }
}
