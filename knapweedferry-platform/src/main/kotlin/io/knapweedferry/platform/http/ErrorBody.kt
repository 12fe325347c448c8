package io.knapweedferry.platform.http

import kotlinx.serialization.Serializable

/** Body of an error response from an external system. */
@Serializable
public data class ErrorBody(
    val code: String,
    val message: String = "",
) {
    public companion object {
        /** Guarantees, with status 503, that the request had no effect. A 503 without this code gives no such guarantee. */
        public const val NOT_DONE: String = "not_done"
    }
}
