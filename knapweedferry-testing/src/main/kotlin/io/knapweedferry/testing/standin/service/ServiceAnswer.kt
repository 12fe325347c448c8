package io.knapweedferry.testing.standin.service

import kotlinx.serialization.Serializable

/** Response of a plain service. */
@Serializable
internal data class ServiceAnswer(
    val service: String,
    val operation: String,
    val requestId: String?,
    /** Hash code of the request body, by which a caller can verify that the response belongs to its request. */
    val bodyHash: Int,
    /** Sequence number of the execution over all operations. */
    val execution: Long,
)
