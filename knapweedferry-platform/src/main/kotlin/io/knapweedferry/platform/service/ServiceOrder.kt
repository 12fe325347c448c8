package io.knapweedferry.platform.service

/** Call to a plain HTTP service. */
public data class ServiceOrder(
    val requestId: String,
    val service: String,
    val operation: String,
    val body: String,
    val idempotencyKey: String?,
    val timeoutMs: Long,
)
