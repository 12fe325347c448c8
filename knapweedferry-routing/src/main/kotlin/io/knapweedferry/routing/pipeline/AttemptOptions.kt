package io.knapweedferry.routing.pipeline

import io.knapweedferry.routing.fleet.EndpointSelector
import io.knapweedferry.routing.model.Route

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
) {
    companion object {
        /** Options of an attempt at a plain service. */
        fun plain(
            route: Route,
            settings: ForwardingSettings,
        ) = AttemptOptions(
            kvTokens = 0,
            pendingPrefillTokens = 0,
            expectedFirstByteMs = EndpointSelector.PLAIN_SERVICE_TIME_MS,
            maxIdleMs = if (route.isRepeatable) Long.MAX_VALUE else settings.nonRepeatableMaxIdleMs,
        )
    }
}
