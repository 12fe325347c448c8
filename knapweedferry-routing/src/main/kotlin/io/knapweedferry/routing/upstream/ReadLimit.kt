package io.knapweedferry.routing.upstream

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.ReferenceCountUtil

/**
 * Limits the bytes that an endpoint may send without progress of the awaited response: blank lines, interim responses,
 * responses to other requests, and endless heads, chunk sizes or trailers. Placed before the decoder in the pipeline, because
 * the decoder limits only some of them.
 */
internal class ReadLimit : ChannelInboundHandlerAdapter() {
    private var bytesSinceProgress = 0

    /** Called when a part of the awaited response has arrived. */
    fun onProgress() {
        bytesSinceProgress = 0
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        bytesSinceProgress += (message as ByteBuf).readableBytes()
        if (bytesSinceProgress <= MAX_BYTES_WITHOUT_PROGRESS) {
            ctx.fireChannelRead(message)
            return
        }
        ReferenceCountUtil.release(message)
        ctx.fireExceptionCaught(ResponseLimitException("more than $MAX_BYTES_WITHOUT_PROGRESS bytes without progress of the response"))
    }

    private companion object {
        /** Twice the maximum size of a response head. */
        const val MAX_BYTES_WITHOUT_PROGRESS = 128 * 1024
    }
}
