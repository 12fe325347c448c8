package io.knapweedferry.routing.pipeline

/** Expected load that one attempt adds to its endpoint, and the pooled connections that the attempt may use. */
internal data class AttemptOptions(
    /** KV cache that the run needs. */
    val kvTokens: Int,
    /** Prompt tokens that the endpoint still has to prefill. */
    val pendingPrefillTokens: Int,
    /** Expected time to the first byte of the response on an unloaded endpoint. */
    val expectedFirstByteMs: Double,
    /** A pooled connection that has been idle for longer is not used. */
    val maxIdleMs: Long,
)
