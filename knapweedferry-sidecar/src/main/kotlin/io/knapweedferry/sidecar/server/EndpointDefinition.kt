package io.knapweedferry.sidecar.server

import io.knapweedferry.api.EndpointId
import io.knapweedferry.platform.engine.Engine
import io.knapweedferry.platform.service.Service
import io.knapweedferry.policy.admission.GateLimits

/** Static definition of an endpoint behind a sidecar. */
public sealed interface EndpointDefinition {
    /** Id by which entry processes address the endpoint. */
    public val id: EndpointId

    /** A model engine. */
    public data class OfEngine(
        override val id: EndpointId,
        val engine: Engine,
        /** Capacity for decode leases. */
        val decodeLimits: GateLimits,
        /** Capacity for concurrent prefills. */
        val prefillLimits: GateLimits,
        /** Tokens per KV cache block, the unit in which engine memory is allocated. */
        val kvBlockTokens: Int,
    ) : EndpointDefinition {
        init {
            require(kvBlockTokens > 0) { "piece_tokens must be positive" }
        }

        /** KV cache blocks needed for [tokens], rounded up. */
        internal fun kvBlocks(tokens: Long): Int =
            ((tokens + kvBlockTokens - 1) / kvBlockTokens).coerceIn(1, Int.MAX_VALUE.toLong()).toInt()
    }

    /** A plain service without a model. */
    public data class OfService(
        override val id: EndpointId,
        val service: Service,
        /** Capacity for calls; each call takes one slot and no KV cache blocks. */
        val limits: GateLimits,
    ) : EndpointDefinition
}
