package io.knapweedferry.testing.standin.service

/** One call as it arrived. */
internal data class ServiceCall(
    val operation: String,
    val requestId: String?,
    val key: String?,
    val body: String,
)
