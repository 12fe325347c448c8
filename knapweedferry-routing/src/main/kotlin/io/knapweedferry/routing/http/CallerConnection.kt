package io.knapweedferry.routing.http

import io.knapweedferry.routing.call.CallRequest
import io.knapweedferry.routing.call.UpstreamProtocol
import io.knapweedferry.routing.model.CallerLimits
import io.knapweedferry.routing.pipeline.CallPipeline
import io.knapweedferry.routing.pipeline.LocalResponse
import io.knapweedferry.telemetry.StalledCallerReason
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Connection of a caller. It keeps reading while a request is processed, because only a read detects that the caller has
 * disconnected; pipelined requests that arrive meanwhile are queued. Confined to the event loop.
 */
internal class CallerConnection(
    private val scope: CoroutineScope,
    private val pipeline: CallPipeline,
    private val protocol: UpstreamProtocol,
    private val limits: CallerLimits,
    private val bodyMemory: BodyMemoryLimit,
    private val isStopping: () -> Boolean,
    private val observer: CallerConnectionObserver,
    private val timeSource: TimeSource = TimeSource.Monotonic,
) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private val queued = ArrayDeque<QueuedCall>()
    private var incoming: IncomingCall? = null
    private var activeJob: Job? = null
    private var hasRefused = false
    private var hasReceivedRequest = false
    private val openedAt = timeSource.markNow()
    private var lastActivity: TimeMark = timeSource.markNow()
    private var writableSignal: CompletableDeferred<Unit>? = null
    private var endpointUnreadMs: () -> Long = { 0 }
    private lateinit var output: OutputProgress

    /** Bytes of responses that the caller has not made room for. */
    val unreadBytes: Long get() = output.unreadBytes

    /** Time since the caller last made room for further bytes. */
    val stalledMs: Long get() = output.apply { poll() }.stalledMs

    /** True while a request is being received, queued or processed, or its response is being written. */
    val isBusy: Boolean get() = activeJob != null || queued.isNotEmpty() || incoming != null || unreadBytes > 0

    /** True if the connection has a request, or was opened so recently that its first request may be on its way. */
    val isInUse: Boolean
        get() = isBusy || (!hasReceivedRequest && openedAt.elapsedNow().inWholeMilliseconds < FIRST_REQUEST_GRACE_MS)

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
        output = OutputProgress(ctx.channel(), timeSource)
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        observer.onOpened(this)
        ctx.fireChannelActive()
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            if (hasRefused) return
            if (message is HttpRequest) receiveHead(message)
            if (message is HttpContent && !hasRefused) receiveContent(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    /** Refuses a request that is received too slowly and closes an idle connection; called periodically. */
    fun checkTimeouts() {
        val inactiveMs = lastActivity.elapsedNow().inWholeMilliseconds
        if (incoming != null && inactiveMs > limits.headerTimeoutMs) return refuse(LocalResponse.HEADER_TIMEOUT, "incomplete request")
        if (!isBusy && inactiveMs > limits.idleTimeoutMs) context.close()
        checkOutput()
    }

    /** Closes the connection of a caller that has stopped reading, which also cancels the run that it waits for. */
    private fun checkOutput() {
        output.poll()
        if (unreadBytes == 0L) return
        lastActivity = timeSource.markNow()
        val isEndpointWaiting = writableSignal != null && minOf(endpointUnreadMs(), output.stalledMs) >= MAX_ENDPOINT_UNREAD_MS
        if (isEndpointWaiting) return closeStalled(StalledCallerReason.ENDPOINT_WAITS)
        if (activeJob == null && output.stalledMs > limits.idleTimeoutMs) closeStalled(StalledCallerReason.IDLE)
    }

    fun closeStalled(reason: StalledCallerReason) {
        observer.onStalled(reason, unreadBytes, output.stalledMs)
        context.close()
    }

    /** Closes the connection unless it is [isInUse]. */
    fun closeIfIdle() {
        if (!isInUse) context.close()
    }

    fun close() {
        context.close()
    }

    private fun receiveHead(request: HttpRequest) {
        hasReceivedRequest = true
        lastActivity = timeSource.markNow()
        val problem = RequestValidator.check(request, limits.maxBodyBytes)
        if (problem != null) return refuse(problem, request.decoderResult().cause()?.message ?: "invalid request head")
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
        incoming = IncomingCall(request, lastActivity, bodyMemory, limits.maxBodyBytes)
    }

    private fun receiveContent(content: HttpContent) {
        val call = incoming ?: return
        if (content.decoderResult().isFailure) {
            return refuse(LocalResponse.MALFORMED, "invalid request body: ${content.decoderResult().cause()?.message}")
        }
        call.add(content.content())?.let { return refuse(it, "request body not accepted") }
        lastActivity = timeSource.markNow()
        if (content is LastHttpContent) complete(call)
    }

    private fun complete(call: IncomingCall) {
        incoming = null
        val request = call.request
        val host = request.headers().get(HttpHeaderNames.HOST).orEmpty()
        val traits = protocol.readTraits(request.headers())
        val callRequest = CallRequest(request.method(), request.uri(), host, request.headers(), call.body(), traits, call.arrived)
        enqueue(QueuedCall.Valid(callRequest, call, HttpUtil.isKeepAlive(request)))
    }

    private fun refuse(
        response: LocalResponse,
        detail: String,
    ) {
        hasRefused = true
        incoming?.release()
        incoming = null
        enqueue(QueuedCall.Refused(response, detail))
    }

    private fun enqueue(call: QueuedCall) {
        queued.addLast(call)
        if (queued.size >= MAX_PIPELINED_REQUESTS) context.channel().config().isAutoRead = false
        serveNext()
    }

    private fun serveNext() {
        // A response that the caller does not read is the only one that is held for it.
        if (activeJob != null || !context.channel().isActive || !context.channel().isWritable) return
        val next = queued.removeFirstOrNull() ?: return
        context.channel().config().isAutoRead = true
        when (next) {
            is QueuedCall.Refused -> {
                observer.onRefused(next.response, next.detail)
                NettyReply(context, null, null, { false }, {}).refuse(next.response, null)
            }
            is QueuedCall.Valid -> activeJob = scope.launch { serve(next) }
        }
    }

    private suspend fun serve(next: QueuedCall.Valid) {
        val requestIdHeader =
            next.call.traits.requestId
                ?.let { protocol.requestIdHeader to it }
        val reply =
            NettyReply(
                context,
                next.call.method,
                requestIdHeader,
                { next.keepsAlive && (queued.isNotEmpty() || !isStopping()) },
                ::awaitWritable,
            )
        try {
            pipeline.serve(next.call, reply)
        } finally {
            next.incoming.release()
            activeJob = null
            lastActivity = timeSource.markNow()
            if (reply.isFinished) serveNext() else close()
            if (!context.channel().isWritable) observer.onUnread()
        }
    }

    private suspend fun awaitWritable(endpointUnreadMs: () -> Long) {
        this.endpointUnreadMs = endpointUnreadMs
        CompletableDeferred<Unit>().also { writableSignal = it }.await()
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        if (!ctx.channel().isWritable) return
        writableSignal?.complete(Unit)
        writableSignal = null
        serveNext()
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        activeJob?.cancel()
        incoming?.release()
        queued.filterIsInstance<QueuedCall.Valid>().forEach { it.incoming.release() }
        queued.clear()
        observer.onClosed(this)
    }

    @Deprecated("Overrides a method that Netty's interface declares deprecated")
    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ) {
        observer.onFailed(cause)
        ctx.close()
    }

    private companion object {
        /** Endpoints cut off a response that stays unread for some seconds; checked every 250 ms. */
        const val MAX_ENDPOINT_UNREAD_MS = 1_500L

        /** Callers send a request right after they have connected; covers the network and a busy event loop. */
        const val FIRST_REQUEST_GRACE_MS = 500L

        /** Maximum number of pipelined requests that are queued; reading pauses beyond it. */
        const val MAX_PIPELINED_REQUESTS = 8
    }
}
