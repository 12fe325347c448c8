package io.knapweedferry.platform.service

/** One call of a plain service. */
public data class ServiceOrder(
    val requestId: String,
    val service: String,
    val operation: String,
    val body: String,
    val idempotencyKey: String?,
    val timeoutMs: Long,
)
