package io.knapweedferry.platform.http

import kotlinx.serialization.Serializable

/** Body of an error answer of an outside system. */
@Serializable
public data class ErrorBody(
    val code: String,
    val message: String = "",
) {
    public companion object {
        /** With status 503: the request had no effect. Without this code a 503 may hide an effect. */
        public const val NOT_DONE: String = "not_done"
    }
}
