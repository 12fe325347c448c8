package io.knapweedferry.routing.http

import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder

/**
 * Decodes requests strictly. Netty drops the length of a request that also claims to be chunked; another program on the path
 * may read it the other way and see a second request in the body, so such a request is refused.
 */
internal class RequestDecoder(
    maxHeaderBytes: Int,
) : HttpRequestDecoder(
        HttpDecoderConfig().setMaxInitialLineLength(maxHeaderBytes).setMaxHeaderSize(maxHeaderBytes).setMaxChunkSize(MAX_CHUNK_BYTES),
    ) {
    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) {
        message.setDecoderResult(DecoderResult.failure(IllegalArgumentException("both a length and chunks")))
    }

    private companion object {
        const val MAX_CHUNK_BYTES = 64 * 1024
    }
}
