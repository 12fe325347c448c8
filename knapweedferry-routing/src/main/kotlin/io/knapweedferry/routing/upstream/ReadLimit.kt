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
    private var idleBytes = 0

    /** The answer that is waited for got on. */
    fun noteProgress() {
        idleBytes = 0
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        idleBytes += (message as ByteBuf).readableBytes()
        if (idleBytes <= MAX_IDLE_BYTES) {
            ctx.fireChannelRead(message)
            return
        }
        ReferenceCountUtil.release(message)
        ctx.fireExceptionCaught(EndlessAnswerException("more than $MAX_IDLE_BYTES bytes without a part of the answer"))
    }

    private companion object {
        /** Twice the largest head that is accepted. */
        const val MAX_IDLE_BYTES = 128 * 1024
    }
}
