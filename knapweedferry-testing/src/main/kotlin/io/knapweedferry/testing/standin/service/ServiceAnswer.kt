package io.knapweedferry.testing.standin.service

import kotlinx.serialization.Serializable

/** Reply of a plain service. */
@Serializable
internal data class ServiceAnswer(
    val service: String,
    val operation: String,
    val requestId: String?,
    /** Hash code of the body text, so that a caller recognises the answer to its own call. */
    val bodyHash: Int,
    /** Number of the execution, counted over all calls. */
    val execution: Long,
)
