package io.knapweedferry.testing.standin.http

import io.knapweedferry.platform.http.ErrorBody
import kotlinx.serialization.SerializationException

/** Ends a request with an error response. */
internal class ErrorResponseException(
    val status: Int,
    val code: String,
    override val message: String,
) : RuntimeException(message) {
    /** JSON body of the error response. */
    fun body(): String = RequestHandler.json.encodeToString(ErrorBody.serializer(), ErrorBody(code, message))

    companion object {
        private const val SERVICE_UNAVAILABLE = 503
        private const val NOT_FOUND = 404
        private const val BAD_REQUEST = 400

        /** Error for a request that had no effect. */
        fun notExecuted(message: String) = ErrorResponseException(SERVICE_UNAVAILABLE, "not_done", message)

        fun badRequest(cause: SerializationException) = ErrorResponseException(BAD_REQUEST, "bad_request", cause.message.orEmpty())

        fun notFound(message: String) = ErrorResponseException(NOT_FOUND, "not_found", message)
    }
}
