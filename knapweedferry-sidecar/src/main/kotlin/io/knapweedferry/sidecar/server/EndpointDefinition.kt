package io.knapweedferry.sidecar.server

import io.knapweedferry.api.EndpointId
import io.knapweedferry.platform.engine.Engine
import io.knapweedferry.platform.service.Service
import io.knapweedferry.policy.admission.GateLimits

/** An endpoint that a sidecar serves. */
public sealed interface EndpointDefinition {
    /** Id under which entries address it. */
    public val id: EndpointId

    /** A model engine. */
    public data class OfEngine(
        override val id: EndpointId,
        val engine: Engine,
        /** Capacity for decode leases. */
        val decodeLimits: GateLimits,
        /** Capacity for prefills, a few at a time. */
        val prefillLimits: GateLimits,
        /** Tokens in one piece of engine memory. */
        val pieceTokens: Int,
    ) : EndpointDefinition {
        init {
            require(pieceTokens > 0) { "piece_tokens must be positive" }
        }

        internal fun pieces(tokens: Long): Int = ((tokens + pieceTokens - 1) / pieceTokens).coerceIn(1, Int.MAX_VALUE.toLong()).toInt()
    }

    /** A plain service. */
    public data class OfService(
        override val id: EndpointId,
        val service: Service,
        /** Capacity for calls; a call needs a slot and no pieces. */
        val limits: GateLimits,
    ) : EndpointDefinition
}
