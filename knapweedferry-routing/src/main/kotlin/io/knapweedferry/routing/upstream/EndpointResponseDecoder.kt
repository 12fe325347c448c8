package io.knapweedferry.routing.upstream

import io.netty.buffer.ByteBufUtil
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpUtil

/** Decodes responses of endpoints. A response to a HEAD request has no body, whatever its headers say. */
internal class EndpointResponseDecoder(
    val attribution: ResponseAttribution,
) : HttpResponseDecoder(
        HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES).setMaxInitialLineLength(MAX_HEADER_BYTES).setMaxChunkSize(MAX_CHUNK_BYTES),
    ) {
    /** True if a part of a message has arrived that cannot be decoded yet. */
    val hasPartialMessage: Boolean get() = actualReadableBytes() > 0

    /** First bytes, [maxBytes] at most, that have arrived behind the message decoded last. */
    fun followingBytes(maxBytes: Int): ByteArray =
        internalBuffer().let { ByteBufUtil.getBytes(it, it.readerIndex(), minOf(maxBytes, it.readableBytes())) }

    /** The superclass accepts any number, also one with a sign or with more than three digits. */
    override fun createMessage(initialLine: Array<String>): HttpMessage {
        require(VALID_STATUS.matches(initialLine[1])) { "invalid status" }
        return super.createMessage(initialLine)
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        super.isContentAlwaysEmpty(message) || (message is HttpResponse && attribution.isBodyless(message))

    /** True if [response] shows where it ends; the body of any other response ends with its connection. */
    fun isDelimited(response: HttpResponse): Boolean =
        isContentAlwaysEmpty(response) ||
            HttpUtil.isTransferEncodingChunked(response) ||
            response.headers().contains(HttpHeaderNames.CONTENT_LENGTH)

    private companion object {
        val VALID_STATUS = Regex("[1-5][0-9]{2}")

        /** Endpoints of the platform send well below 2 KB of headers; a response beyond this limit is treated as malformed. */
        const val MAX_HEADER_BYTES = 64 * 1024
        const val MAX_CHUNK_BYTES = 64 * 1024
    }
}
