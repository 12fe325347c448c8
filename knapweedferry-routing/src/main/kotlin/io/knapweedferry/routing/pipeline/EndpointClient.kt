package io.knapweedferry.routing.pipeline

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import io.knapweedferry.api.EndpointId
import io.knapweedferry.routing.call.AttemptTerms
import io.knapweedferry.routing.call.CallRequest
import io.knapweedferry.routing.call.ControlRequest
import io.knapweedferry.routing.call.UpstreamProtocol
import io.knapweedferry.routing.fleet.EndpointAvailability
import io.knapweedferry.routing.fleet.EndpointChoice
import io.knapweedferry.routing.fleet.EndpointSelector
import io.knapweedferry.routing.model.RoutedEndpoint
import io.knapweedferry.routing.upstream.AttemptFailure
import io.knapweedferry.routing.upstream.EndpointConnection
import io.knapweedferry.routing.upstream.EndpointPool
import io.knapweedferry.routing.upstream.OutboundRequest
import io.knapweedferry.routing.upstream.PendingResponse
import io.knapweedferry.routing.upstream.ResponseMemory
import io.knapweedferry.routing.upstream.ResponseOrigin
import io.knapweedferry.routing.upstream.UnclaimedResponse
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.TimeSource

/** Sends requests to a given endpoint and records the load and the outcome in its [EndpointTracker]. */
internal class EndpointClient(
    private val pool: EndpointPool,
    private val selector: EndpointSelector,
    private val protocol: UpstreamProtocol,
    private val availability: EndpointAvailability,
    private val scope: CoroutineScope,
    private val timeSource: TimeSource = TimeSource.Monotonic,
) {
    private val responseMemory = ResponseMemory(MAX_RESPONSE_MEMORY_BYTES)

    /** False if [endpoint] has said that it leaves or wants no requests for now. */
    fun accepts(endpoint: RoutedEndpoint): Boolean = availability.accepts(endpoint)

    /** True if [endpoint] has said that it leaves. */
    fun isLeaving(endpoint: RoutedEndpoint): Boolean = availability.isLeaving(endpoint)

    /** Connects and sends the request. The caller must close the returned attempt. */
    suspend fun open(
        record: CallRecord,
        choice: EndpointChoice,
        terms: AttemptTerms,
        options: AttemptOptions,
    ): Either<AttemptFailure, Attempt> {
        val endpoint = choice.endpoint
        if (!availability.accepts(endpoint)) return AttemptFailure.NotSent(NOT_ACCEPTING).left()
        val tracker = selector.tracker(endpoint.id)
        val inFlight = tracker.begin(options.kvTokens, options.pendingPrefillTokens, options.expectedFirstByteMs)
        var isOpen = false
        val connecting = timeSource.markNow()
        try {
            val connected = pool.acquire(endpoint, options.maxIdleMs.takeIf { permitsReuse(record, endpoint.id) })
            return connected
                .onLeft {
                    tracker.recordUnreachable("connect")
                    record.recordStep("unreachable:${endpoint.id.value}")
                }.flatMap { connection ->
                    // The connection may have taken long to establish, or the process may have been paused meanwhile.
                    val remainingMs = terms.remainingMs - connecting.elapsedNow().inWholeMilliseconds
                    if (remainingMs <= 0) return@flatMap notSent(connection, "the deadline has passed")
                    if (!availability.accepts(endpoint)) return@flatMap notSent(connection, NOT_ACCEPTING)
                    val response = connection.sendOrClose { outboundRequest(record.call, endpoint, terms.copy(remainingMs = remainingMs)) }
                    record.recordSent(choice, terms)
                    isOpen = true
                    Attempt(endpoint, inFlight, tracker, connection, response, protocol, timeSource.markNow()).right()
                }
        } finally {
            if (!isOpen) inFlight.end()
        }
    }

    private fun permitsReuse(
        record: CallRecord,
        endpoint: EndpointId,
    ) = record.permitsPooledConnection(endpoint) && pool.permitsReuse(endpoint)

    /** Sends the request and buffers the complete response. */
    suspend fun fetch(
        record: CallRecord,
        choice: EndpointChoice,
        terms: AttemptTerms,
        options: AttemptOptions,
    ): Either<AttemptFailure, BufferedResponse> =
        open(record, choice, terms, options).flatMap { attempt ->
            attempt.use { it.head().flatMap { head -> readBody(it).map { body -> BufferedResponse(head.status, head.headers, body) } } }
        }

    private suspend fun readBody(attempt: Attempt): Either<AttemptFailure, ByteArray> =
        responseMemory.Share().use { BodyReader.read(BodyReader.MAX_BODY_BYTES, attempt::next, it::tryGrow) }

    /**
     * Sends a request that originates in the entry and returns the complete response. [isPermitted] is asked once there is a
     * connection, right before the request is written. A response that fails [check] belongs to an earlier request;
     * [request] is sent again then, on a new connection.
     */
    suspend fun sendControl(
        endpoint: RoutedEndpoint,
        request: ControlRequest,
        timeoutMs: Long,
        isPermitted: () -> Boolean = { true },
        check: ResponseCheck = ResponseCheck.ANY,
    ): Either<AttemptFailure, BufferedResponse> =
        withTimeoutOrNull(timeoutMs) { exchange(endpoint, request, isPermitted, check) }
            ?: AttemptFailure.NoResponse("no response within $timeoutMs ms").left()

    /** Like [sendControl], but does not wait for the response. */
    fun sendControlAsync(
        endpoint: RoutedEndpoint,
        request: ControlRequest,
        check: ResponseCheck,
    ) {
        scope.launch { sendControl(endpoint, request, CONTROL_TIMEOUT_MS, check = check) }
    }

    /** [listener] is called with each response to a request of the entry's own that nobody waits for any more. */
    fun onUnclaimedResponse(listener: (UnclaimedResponse) -> Unit) {
        pool.unclaimedListener = listener
    }

    private suspend fun exchange(
        endpoint: RoutedEndpoint,
        request: ControlRequest,
        isPermitted: () -> Boolean,
        check: ResponseCheck,
    ): Either<AttemptFailure, BufferedResponse> {
        if (availability.remainingPauseMs(endpoint) > 0) return AttemptFailure.NotSent(NOT_ACCEPTING).left()
        for (maxIdleMs in listOf(Long.MAX_VALUE, null)) {
            val connection = pool.acquire(endpoint, maxIdleMs).getOrElse { return it.left() }
            if (!isPermitted()) return notSent(connection, "the permission to send it has expired")
            val response = exchange(connection, request, check).getOrElse { return it.left() }
            if (response != null) return response.right()
        }
        return AttemptFailure.NoResponse(REPEATED_RESPONSE).left()
    }

    /** Null if the response fails [check]. Whatever ends the exchange, the connection is back in the pool or closed afterwards. */
    private suspend fun exchange(
        connection: EndpointConnection,
        request: ControlRequest,
        check: ResponseCheck,
    ): Either<AttemptFailure, BufferedResponse?> {
        var isReleased = false
        val pendingResponse = connection.send(outboundRequest(connection.endpoint, request))
        try {
            return readShort(pendingResponse).map { response ->
                val isOwn = check.isOwn(response, connection.mayCarryCopies)
                val origin = if (isOwn) ResponseOrigin.OWN else check.foreignOrigin
                connection.release(origin, isRefusal = response.status >= STATUS_REFUSED).also { isReleased = true }
                response.takeIf { isOwn }
            }
        } finally {
            if (!isReleased) connection.close()
            pendingResponse.discard()
        }
    }

    private fun outboundRequest(
        endpoint: RoutedEndpoint,
        request: ControlRequest,
    ): OutboundRequest {
        val headers = DefaultHttpHeaders().add(request.headers).set(HttpHeaderNames.HOST, endpoint.hostHeader())
        if (request.body.isNotEmpty()) {
            headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json").set(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
        }
        return OutboundRequest(request.method, request.target, headers, request.body, requestId = null, isControl = true)
    }

    private suspend fun readShort(response: PendingResponse): Either<AttemptFailure, BufferedResponse> =
        response.head().flatMap { head ->
            BodyReader.read(BodyReader.MAX_SHORT_BODY_BYTES, response::next).map { BufferedResponse(head.status, head.headers, it) }
        }

    /** An unexpected error while the request is built or written leaves nobody else who would close the connection. */
    private inline fun EndpointConnection.sendOrClose(request: () -> OutboundRequest): PendingResponse {
        var isSent = false
        try {
            return send(request()).also { isSent = true }
        } finally {
            if (!isSent) close()
        }
    }

    private fun notSent(
        connection: EndpointConnection,
        detail: String,
    ): Either<AttemptFailure, Nothing> {
        connection.close()
        return AttemptFailure.NotSent(detail).left()
    }

    private fun outboundRequest(
        call: CallRequest,
        endpoint: RoutedEndpoint,
        terms: AttemptTerms,
    ): OutboundRequest {
        val headers = protocol.endpointHeaders(call, terms)
        if (call.body.isNotEmpty() || call.method == HttpMethod.POST || call.method == HttpMethod.PUT) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, call.body.size)
        }
        if (!headers.contains(HttpHeaderNames.HOST)) headers.set(HttpHeaderNames.HOST, endpoint.hostHeader())
        return OutboundRequest(call.method, call.target, headers, call.body, call.traits.requestId)
    }

    private fun RoutedEndpoint.hostHeader() = "${address.hostString}:${address.port}"

    private companion object {
        const val STATUS_REFUSED = 400
        const val CONTROL_TIMEOUT_MS = 1_000L
        const val REPEATED_RESPONSE = "the endpoint repeated an earlier response"
        const val NOT_ACCEPTING = "the endpoint is leaving or wants no requests"

        /** A sixth of the heap; a response takes up to three times its size while it is read. */
        const val MAX_RESPONSE_MEMORY_BYTES = 16L * 1024 * 1024
    }
}
