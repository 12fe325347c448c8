package io.knapweedferry.testing.standin.service

/** Request to a plain service. */
internal data class ServiceCall(
    val operation: String,
    val requestId: String?,
    val idempotencyKey: String?,
    val body: String,
)
