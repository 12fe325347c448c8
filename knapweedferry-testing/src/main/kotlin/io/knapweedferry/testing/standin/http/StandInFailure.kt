package io.knapweedferry.testing.standin.http

import io.knapweedferry.platform.http.ErrorBody
import kotlinx.serialization.SerializationException

/** Ends a call with an error answer. */
internal class StandInFailure(
    val status: Int,
    val code: String,
    override val message: String,
) : RuntimeException(message) {
    /** JSON of the error answer. */
    fun body(): String = Calls.json.encodeToString(ErrorBody.serializer(), ErrorBody(code, message))

    companion object {
        private const val SERVICE_UNAVAILABLE = 503
        private const val NOT_FOUND = 404
        private const val BAD_REQUEST = 400

        /** The call had no effect. */
        fun notDone(message: String) = StandInFailure(SERVICE_UNAVAILABLE, "not_done", message)

        fun badRequest(cause: SerializationException) = StandInFailure(BAD_REQUEST, "bad_request", cause.message.orEmpty())

        fun notFound(message: String) = StandInFailure(NOT_FOUND, "not_found", message)
    }
}
