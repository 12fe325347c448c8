package io.knapweedferry.routing.http

import io.knapweedferry.routing.pipeline.CallerReply
import io.knapweedferry.routing.pipeline.LocalResponse
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.DefaultLastHttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import java.util.Locale

/** Writes one response to a caller's connection. Confined to the event loop. */
internal class NettyReply(
    private val context: ChannelHandlerContext,
    private val method: HttpMethod?,
    private val requestIdHeader: Pair<String, String>?,
    /** False if the connection is to be closed after this response. */
    private val keepsAlive: () -> Boolean,
    private val awaitWritable: suspend (endpointUnreadMs: () -> Long) -> Unit,
) : CallerReply {
    override var hasStarted = false
        private set

    override var isFinished = false
        private set

    private var closesConnection = false

    override fun deliver(
        status: Int,
        headers: HttpHeaders,
        body: ByteArray,
    ) {
        val response = responseHead(status)
        response.headers().add(headers)
        if (!isBodyless(status)) response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        hasStarted = true
        setConnectionHeader(response)
        context.write(response)
        writeLast(DefaultLastHttpContent(Unpooled.wrappedBuffer(body)))
    }

    /** The length in such a response is that of a body which is not sent. */
    private fun isBodyless(status: Int) = method == HttpMethod.HEAD || status == HttpResponseStatus.NOT_MODIFIED.code()

    private fun responseHead(status: Int): HttpResponse {
        val httpStatus = HttpResponseStatus.valueOf(status)
        return if (method == HttpMethod.HEAD) HeadResponse(httpStatus) else DefaultHttpResponse(HttpVersion.HTTP_1_1, httpStatus)
    }

    override fun refuse(
        response: LocalResponse,
        retryAfterMs: Long?,
    ) {
        val headers = DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, PROBLEM_TYPE)
        requestIdHeader?.let { (name, value) -> headers.set(name, value) }
        if (response.status == HttpResponseStatus.UNAUTHORIZED.code()) headers.set(HttpHeaderNames.WWW_AUTHENTICATE, AUTHENTICATION_SCHEME)
        retryAfterMs?.let { headers.set(HttpHeaderNames.RETRY_AFTER, "%.3f".format(Locale.ROOT, it / MS_PER_SECOND)) }
        val body = """{"title":"${response.reason}","status":${response.status},"detail":"${response.remedy}"}"""
        deliver(response.status, headers, body.encodeToByteArray())
    }

    override fun begin(
        status: Int,
        headers: HttpHeaders,
    ) {
        hasStarted = true
        val response = responseHead(status)
        response.headers().add(headers)
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        setConnectionHeader(response)
        context.writeAndFlush(response)
    }

    override suspend fun write(
        bytes: ByteArray,
        endpointUnreadMs: () -> Long,
    ) {
        context.writeAndFlush(DefaultHttpContent(Unpooled.wrappedBuffer(bytes)))
        if (!context.channel().isWritable) awaitWritable(endpointUnreadMs)
    }

    override fun finish() {
        writeLast(LastHttpContent.EMPTY_LAST_CONTENT)
    }

    override fun abort() {
        context.close()
    }

    private fun writeLast(content: LastHttpContent) {
        isFinished = true
        val written = context.writeAndFlush(content)
        if (closesConnection) written.addListener(ChannelFutureListener.CLOSE)
    }

    private fun setConnectionHeader(response: HttpResponse) {
        closesConnection = !keepsAlive()
        if (closesConnection) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
    }

    private companion object {
        const val PROBLEM_TYPE = "application/problem+json"
        const val AUTHENTICATION_SCHEME = "Bearer"
        const val MS_PER_SECOND = 1_000.0
    }
}
