package io.knapweedferry.config.state

import kotlinx.serialization.Serializable

/** Operation of a service. */
@Serializable
public data class OperationPolicy(
    /** False if the operation is not idempotent; each call then requires an Idempotency-Key and a claim. */
    val repeatable: Boolean,
    val timeoutMs: Long = DEFAULT_TIMEOUT_MS,
) {
    public companion object {
        /** Timeout of operations that do not configure one. */
        public const val DEFAULT_TIMEOUT_MS: Long = 10_000
    }
}
