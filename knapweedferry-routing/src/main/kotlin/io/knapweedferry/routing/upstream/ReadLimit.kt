package io.knapweedferry.routing.upstream

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.util.ReferenceCountUtil

/**
 * Bounds the bytes that an endpoint may send without getting on with its answer: blank lines, interim answers, answers to
 * other requests and heads, chunk sizes or trailers without end. Stands before the decoder, which bounds only some of them.
 */
internal class ReadLimit : ChannelInboundHandlerAdapter() {
    private var bytesSinceProgress = 0

    /** The answer that is waited for got on. */
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
        ctx.fireExceptionCaught(ResponseLimitException("more than $MAX_BYTES_WITHOUT_PROGRESS bytes without a part of the answer"))
    }

    private companion object {
        /** Twice the largest head that is accepted. */
        const val MAX_BYTES_WITHOUT_PROGRESS = 128 * 1024
    }
}
