package io.knapweedferry.config.state

import kotlinx.serialization.Serializable

/** One operation of a plain service. */
@Serializable
public data class OperationPolicy(
    /** False for work that must not be repeated; such calls need an Idempotency-Key and a claim. */
    val repeatable: Boolean,
    val timeoutMs: Long = DEFAULT_TIMEOUT_MS,
) {
    public companion object {
        /** Time a service has to answer when the operation does not say otherwise. */
        public const val DEFAULT_TIMEOUT_MS: Long = 10_000
    }
}
