package io.knapweedferry.platform.http

import io.knapweedferry.platform.PlatformError
import kotlinx.serialization.SerializationException
import java.io.IOException
import java.net.HttpURLConnection.HTTP_BAD_REQUEST
import java.net.HttpURLConnection.HTTP_INTERNAL_ERROR
import java.net.HttpURLConnection.HTTP_UNAVAILABLE

/** Maps failures of HTTP exchanges to [PlatformError]. */
internal object HttpErrorMapper {
    private const val MAX_MESSAGE_CHARS = 200

    /** Maps an exchange that failed before a complete response was received. */
    fun ofException(
        error: IOException,
        sentFlag: SentFlag,
    ): PlatformError {
        val text = error.message ?: error.javaClass.simpleName
        if (!sentFlag.sent) return PlatformError.NotSent("could not connect ($text); check the address and that the server is running")
        return PlatformError.NoResponse("no response after sending ($text); find out whether the request took effect before repeating it")
    }

    /** Maps a response with a status other than 2xx. A request that fails with 5xx may have taken effect. */
    fun ofStatus(response: BufferedResponse): PlatformError {
        val error = errorBody(response.body)
        val text = (error?.message ?: response.body).take(MAX_MESSAGE_CHARS)
        if (response.status == HTTP_UNAVAILABLE && error?.code == ErrorBody.NOT_DONE) {
            return PlatformError.NotSent("request was not executed ($text); retry later")
        }
        if (response.status >= HTTP_INTERNAL_ERROR) {
            return PlatformError.NoResponse(
                "status ${response.status} ($text); find out whether the request took effect before repeating it",
            )
        }
        if (response.status >= HTTP_BAD_REQUEST) {
            return PlatformError.Rejected(response.status, "rejected with status ${response.status} ($text); correct the request")
        }
        return PlatformError.InvalidResponse("unexpected status ${response.status}; check the address of the server")
    }

    /** Maps a response whose body could not be decoded. */
    fun decodingFailure(cause: Exception): PlatformError =
        PlatformError.InvalidResponse("response not decodable (${cause.message?.take(MAX_MESSAGE_CHARS)}); check the version of the server")

    private fun errorBody(body: String): ErrorBody? =
        try {
            WireJson.decodeFromString(ErrorBody.serializer(), body)
        } catch (_: SerializationException) {
            null
        }
}
