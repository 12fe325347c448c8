package io.knapweedferry.routing.upstream

import io.knapweedferry.routing.model.RoutedEndpoint
import io.knapweedferry.telemetry.SurplusKind
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.PrematureChannelClosureException
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import kotlin.time.TimeSource

/**
 * One connection to an endpoint, which carries one request at a time. A response that does not answer it is skipped, and a
 * connection that received unexpected data is not reused.
 */
internal class EndpointConnection(
    val endpoint: RoutedEndpoint,
    private val decoder: EndpointResponseDecoder,
    private val embeddedResponses: EmbeddedResponseScan,
    private val readLimit: ReadLimit,
    private val unreadMemory: UnreadMemory,
    private val timeSource: TimeSource,
    private val observer: EndpointConnectionObserver,
) : ChannelInboundHandlerAdapter() {
    private val attribution = decoder.attribution
    private lateinit var context: ChannelHandlerContext
    private var pending: PendingResponse? = null
    private var request: OutboundRequest? = null
    private var isSkippingResponse = false
    private var isReusable = true

    /** True if a length or chunks mark the end of the present response. */
    private var isDelimited = false

    /** Response that arrives although no request waits for it. */
    private var unclaimed: UnclaimedBody? = null

    private var unclaimedResponse: UnclaimedResponse? = null

    /** True while the reader of a complete response to a request of the entry's own has not said what it is. */
    private var isAwaitingRelease = false

    /** True if the last response was a refusal that may be a copy, so that the response to its request may still come. */
    private var isRefusalUncertain = false

    private var idleSince = timeSource.markNow()

    /** Idle time after which the endpoint may close the connection. */
    private var keepAliveMs = DEFAULT_KEEP_ALIVE_MS

    /** True if the last request was one of the entry's own. */
    val isForControl: Boolean get() = request?.isControl == true

    /** True if the last response may be a copy of an earlier one. */
    val mayCarryCopies: Boolean get() = attribution.responses > 1

    val idleMs: Long get() = idleSince.elapsedNow().inWholeMilliseconds

    /** True while a response to the last request may still come; a further request would be given that response. */
    val isResting: Boolean get() = isRefusalUncertain && idleMs < RESPONSE_WAIT_MS

    val isUsable: Boolean get() = isIntact && !isResting

    private val isIntact: Boolean
        get() =
            isReusable &&
                pending == null &&
                context.channel().isActive &&
                !decoder.hasPartialMessage &&
                idleMs < keepAliveMs - KEEP_ALIVE_MARGIN_MS

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        context = ctx
    }

    /** Writes [request]. May be called only on the event loop, and only if the connection is new or [isUsable]. */
    fun send(request: OutboundRequest): PendingResponse {
        val pendingResponse = PendingResponse(unreadMemory, timeSource) { context.channel().config().isAutoRead = !it }
        pending = pendingResponse
        this.request = request
        attribution.onRequest(request)
        isSkippingResponse = false
        isRefusalUncertain = false
        readLimit.onProgress()
        val message = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method, request.target, Unpooled.wrappedBuffer(request.body))
        message.headers().add(request.headers)
        context.writeAndFlush(message).addListener {
            if (!it.isSuccess) failPending("write failed: ${it.cause()?.message}", isDisconnect = true)
        }
        return pendingResponse
    }

    /** Closes the connection if [pendingResponse] is incomplete; an endpoint cancels its work when the connection closes. */
    fun cancel(pendingResponse: PendingResponse) {
        if (pending === pendingResponse) close()
    }

    fun close() {
        pending = null
        isReusable = false
        context.close()
    }

    override fun channelRead(
        ctx: ChannelHandlerContext,
        message: Any,
    ) {
        try {
            val cause = (message as HttpObject).decoderResult().takeIf { it.isFailure }
            if (cause != null) return failMalformed(cause.cause())
            if (message is HttpResponse) receiveHead(message)
            if (message is HttpContent) receiveContent(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun receiveHead(response: HttpResponse) {
        val pendingResponse = pending ?: return receiveUnrequested(response)
        if (attribution.isForRequest(response)) observer.onHead(this, response)
        if (HttpStatusClass.INFORMATIONAL.contains(response.status().code())) {
            isSkippingResponse = true
            isReusable = isReusable && response.status() == HttpResponseStatus.CONTINUE
            return
        }
        embeddedResponses.reset()
        isSkippingResponse = !attribution.isForRequest(response)
        if (isSkippingResponse) return skip(response)
        attribution.onResponse()
        isDelimited = decoder.isDelimited(response)
        if (!isDelimited || !attribution.permitsReuseAfter(response)) isReusable = false
        readLimit.onProgress()
        KeepAliveHeader.timeoutMs(response.headers())?.let { keepAliveMs = it }
        pendingResponse.begin(ResponseHead(response.status().code(), response.headers()))
    }

    private fun skip(response: HttpResponse) {
        val kind =
            when {
                !decoder.isDelimited(response) -> SurplusKind.UNDELIMITED
                attribution.answeredRequestId(response) == null -> SurplusKind.UNNAMED
                else -> SurplusKind.OTHER_REQUEST
            }
        reportSurplus(kind, response)
        attribution.onResponse()
        isReusable = false
        if (kind == SurplusKind.UNDELIMITED) failConnection("no response can follow one that ends with its connection")
    }

    private fun receiveContent(content: HttpContent) {
        val pendingResponse = pending ?: return receiveUnclaimed(content)
        val bytes = ByteBufUtil.getBytes(content.content())
        if (embeddedResponses.finds(bytes)) return failEmbedded()
        if (isSkippingResponse) return
        if (bytes.isNotEmpty()) {
            readLimit.onProgress()
            pendingResponse.add(bytes)
        }
        if (content !is LastHttpContent) return
        if (embeddedResponses.endsInOther(isDelimited) { decoder.followingBytes(MAX_STATUS_LINE_BYTES) }) return failEmbedded()
        pending = null
        pendingResponse.end(isDelimited)
        idleSince = timeSource.markNow()
        isAwaitingRelease = isForControl
        if (!isReusable) {
            context.close()
        } else if (!isForControl) {
            observer.onReusable(this)
        }
    }

    /**
     * Called with the complete response to a request of the entry's own, once its reader has said what it is. After a copy of an
     * earlier response the connection carries no other request and waits for the response to the present one. A refusal that may
     * be a copy is taken as it is; if the endpoint has repeated responses lately, the connection rests until the response to its
     * request would have arrived. Refusals are frequent under load, and a connection that rests costs a new one.
     */
    fun release(
        origin: ResponseOrigin,
        isRefusal: Boolean,
    ) {
        isAwaitingRelease = false
        if (origin != ResponseOrigin.OWN) reportSurplus(SurplusKind.REPEATED, null)
        unclaimedResponse?.let(observer::onUnclaimed)
        isRefusalUncertain = isRefusal && mayCarryCopies && observer.hasRepeatedResponses(this)
        when {
            origin == ResponseOrigin.OWN && isIntact -> observer.onReusable(this)
            origin == ResponseOrigin.COPY && isIntact -> awaitUnclaimed()
            else -> close()
        }
    }

    private fun awaitUnclaimed() {
        isReusable = false
        context.executor().schedule(::close, RESPONSE_WAIT_MS, TimeUnit.MILLISECONDS)
    }

    /** The response may grant what its request asked for, which somebody has to give back. */
    private fun receiveUnrequested(response: HttpResponse) {
        reportSurplus(SurplusKind.UNREQUESTED, response)
        if (!isForControl || !decoder.isDelimited(response)) return failConnection("response without a request")
        unclaimed = UnclaimedBody(response.status().code())
        awaitUnclaimed()
    }

    /** The reader of the response before must have seen it first, because this one may be a copy of it. */
    private fun receiveUnclaimed(content: HttpContent) {
        val body = unclaimed ?: return failConnection("response body without a request")
        body.add(ByteBufUtil.getBytes(content.content()))
        if (content !is LastHttpContent) return
        unclaimed = null
        val response = UnclaimedResponse(endpoint, body.status, body.bytes())
        if (isAwaitingRelease) {
            unclaimedResponse = response
        } else {
            observer.onUnclaimed(response)
        }
        close()
    }

    private fun failEmbedded() {
        reportSurplus(SurplusKind.EMBEDDED, null)
        failConnection("the body contains another response")
    }

    private fun reportSurplus(
        kind: SurplusKind,
        response: HttpResponse?,
    ) {
        val surplus =
            SurplusResponse(
                kind = kind,
                status = response?.status()?.code(),
                answeredRequestId = response?.let(attribution::answeredRequestId),
                pendingRequestId = request?.requestId.takeIf { pending != null },
                localPort = (context.channel().localAddress() as? InetSocketAddress)?.port ?: 0,
                earlierResponses = attribution.responses,
                sinceLastResponseMs = idleMs.takeIf { attribution.responses > 0 },
            )
        observer.onSurplus(this, surplus)
    }

    private fun failMalformed(cause: Throwable?) {
        if (pending == null && cause !is PrematureChannelClosureException) reportSurplus(SurplusKind.UNREQUESTED, null)
        failConnection("malformed response: ${cause?.message}", isDisconnect = cause is PrematureChannelClosureException)
    }

    private fun failConnection(
        detail: String,
        isDisconnect: Boolean = false,
    ) {
        isReusable = false
        failPending(detail, isDisconnect)
        context.close()
    }

    private fun failPending(
        detail: String,
        isDisconnect: Boolean,
    ) {
        val pendingResponse = pending ?: return
        pending = null
        pendingResponse.fail(detail, isDisconnect)
    }

    // Runs before channelInactive, so that a response without a length that ends in a reset is not treated as complete.
    @Deprecated("Overrides a method that Netty's interface declares deprecated")
    override fun exceptionCaught(
        ctx: ChannelHandlerContext,
        cause: Throwable,
    ): Unit = failConnection("connection failed: ${cause.message}", isDisconnect = cause !is ResponseLimitException)

    override fun channelInactive(ctx: ChannelHandlerContext) {
        failPending("connection closed", isDisconnect = true)
        observer.onClosed(this)
    }

    private companion object {
        /** Twice the time within which an engine must respond to a reservation; a grant was seen after it on a busy machine. */
        const val RESPONSE_WAIT_MS = 300L

        /** Enough to recognise a status line. */
        const val MAX_STATUS_LINE_BYTES = 32

        /** Used until an endpoint announces its own idle timeout. */
        const val DEFAULT_KEEP_ALIVE_MS = 5_000L

        /** A request must arrive before the endpoint's idle timeout; covers network latency, event loop delays and rounding. */
        const val KEEP_ALIVE_MARGIN_MS = 700L
    }
}
