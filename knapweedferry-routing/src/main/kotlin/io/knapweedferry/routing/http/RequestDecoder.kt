package io.knapweedferry.routing.http

import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/**
 * Decodes requests strictly to prevent request smuggling. Netty ignores `Content-Length` if `Transfer-Encoding: chunked` is
 * also present; another proxy on the path may do the opposite and find a second request in the body, so such a request is refused.
 */
internal class RequestDecoder(
    maxHeaderBytes: Int,
) : HttpRequestDecoder(
        HttpDecoderConfig().setMaxInitialLineLength(maxHeaderBytes).setMaxHeaderSize(maxHeaderBytes).setMaxChunkSize(MAX_CHUNK_BYTES),
    ) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) {
        message.setDecoderResult(DecoderResult.failure(IllegalArgumentException("Content-Length together with Transfer-Encoding: chunked")))
    }

    private companion object {
        const val MAX_CHUNK_BYTES = 64 * 1024
    }
}
