package io.knapweedferry.platform.service

/** Request to an operation of a plain HTTP service. */
public data class ServiceRequest(
    val requestId: String,
    val service: String,
    val operation: String,
    val body: String,
    val idempotencyKey: String?,
    val timeoutMs: Long,
)
