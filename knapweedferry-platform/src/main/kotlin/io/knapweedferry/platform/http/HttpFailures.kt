package io.knapweedferry.platform.http

import io.knapweedferry.platform.PlatformError
import kotlinx.serialization.SerializationException
import okhttp3.OkHttpClient
import java.io.IOException
import java.io.InterruptedIOException
import java.net.HttpURLConnection.HTTP_BAD_REQUEST
import java.net.HttpURLConnection.HTTP_INTERNAL_ERROR
import java.net.HttpURLConnection.HTTP_UNAVAILABLE

/** Maps failures of HTTP exchanges to [PlatformError]. */
internal object HttpFailures {
    private const val MESSAGE_CHARS = 200

    /** Maps an exchange without a whole answer. */
    fun ofException(
        client: OkHttpClient,
        error: IOException,
        mark: SentMark,
    ): PlatformError {
        // A timeout on a kept connection suggests that the path lost its state; its idle siblings would time out as well.
        if (error is InterruptedIOException) client.connectionPool.evictAll()
        val text = error.message ?: error.javaClass.simpleName
        if (!mark.sent) return PlatformError.NotSent("no connection ($text); check that the address is right and the other side runs")
        return PlatformError.NoAnswer("no answer after sending ($text); find out whether the request took effect before repeating it")
    }

    /** Maps an answer with a status other than 2xx. A 5xx status may come after the effect. */
    fun ofStatus(reply: HttpReply): PlatformError {
        val error = errorBody(reply.body)
        val text = (error?.message ?: reply.body).take(MESSAGE_CHARS)
        if (reply.status == HTTP_UNAVAILABLE && error?.code == ErrorBody.NOT_DONE) {
            return PlatformError.NotSent("not done ($text); retry later")
        }
        if (reply.status >= HTTP_INTERNAL_ERROR) {
            return PlatformError.NoAnswer("status ${reply.status} ($text); find out whether the request took effect before repeating it")
        }
        if (reply.status >= HTTP_BAD_REQUEST) {
            return PlatformError.Rejected(reply.status, "refused with status ${reply.status} ($text); correct the request")
        }
        return PlatformError.BadAnswer("unexpected status ${reply.status}; check the address of the other side")
    }

    fun badAnswer(cause: Exception): PlatformError =
        PlatformError.BadAnswer("answer not understood (${cause.message?.take(MESSAGE_CHARS)}); check the version of the other side")

    private fun errorBody(body: String): ErrorBody? =
        try {
            WireJson.decodeFromString(ErrorBody.serializer(), body)
        } catch (_: SerializationException) {
            null
        }
}
