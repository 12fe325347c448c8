package io.knapweedferry.routing.http

import io.knapweedferry.routing.pipeline.LocalResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException

/** Refuses malformed requests, in particular those whose framing two HTTP implementations may interpret differently. */
internal object RequestValidator {
    /** Returns the error response for an invalid head of [request], or null if the head is valid. */
    fun check(
        request: HttpRequest,
        maxBodyBytes: Int,
    ): LocalResponse? {
        if (request.decoderResult().isFailure) return decoderFailure(request.decoderResult().cause())
        if (!hasValidTarget(request) || !hasValidHost(request) || !hasValidFraming(request)) return LocalResponse.MALFORMED
        val length = request.headers().get(HttpHeaderNames.CONTENT_LENGTH)?.toLongOrNull() ?: 0
        return if (length > maxBodyBytes) LocalResponse.BODY_TOO_LARGE else null
    }

    private fun decoderFailure(cause: Throwable): LocalResponse =
        when (cause) {
            is TooLongHttpHeaderException, is TooLongHttpLineException -> LocalResponse.HEADER_TOO_LARGE
            else -> LocalResponse.MALFORMED
        }

    private fun hasValidTarget(request: HttpRequest): Boolean =
        request.uri().startsWith("/") && request.uri().none { it <= ' ' || it == DELETE }

    private fun hasValidHost(request: HttpRequest): Boolean {
        val hosts = request.headers().getAll(HttpHeaderNames.HOST)
        return hosts.size == 1 || (hosts.isEmpty() && request.protocolVersion() == HttpVersion.HTTP_1_0)
    }

    private fun hasValidFraming(request: HttpRequest): Boolean {
        val codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING)
        val lengths = request.headers().getAll(HttpHeaderNames.CONTENT_LENGTH)
        if (codings.isEmpty()) return lengths.size <= 1 && lengths.all { text -> text.isNotEmpty() && text.all { it in '0'..'9' } }
        val isChunked = codings.size == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.single())
        return isChunked && lengths.isEmpty() && request.protocolVersion() == HttpVersion.HTTP_1_1
    }

    private const val DELETE = '\u007f'
}
