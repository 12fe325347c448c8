package io.knapweedferry.routing.pipeline

import arrow.core.Either
import io.knapweedferry.routing.call.UpstreamProtocol
import io.knapweedferry.routing.fleet.EndpointTracker
import io.knapweedferry.routing.model.RoutedEndpoint
import io.knapweedferry.routing.upstream.AttemptFailure
import io.knapweedferry.routing.upstream.EndpointConnection
import io.knapweedferry.routing.upstream.PendingResponse
import io.knapweedferry.routing.upstream.ResponseHead
import io.knapweedferry.routing.upstream.ResponsePart
import kotlin.time.TimeMark

/**
 * One request sent to one endpoint. Closing it before the response is complete closes the connection,
 * so that the endpoint cancels the work.
 */
internal class Attempt(
    val endpoint: RoutedEndpoint,
    private val inFlight: EndpointTracker.InFlightAttempt,
    private val tracker: EndpointTracker,
    private val connection: EndpointConnection,
    private val response: PendingResponse,
    private val protocol: UpstreamProtocol,
    private val sentAt: TimeMark,
) : AutoCloseable {
    /** Time since the request was sent. */
    val elapsedMs: Long get() = sentAt.elapsedNow().inWholeMilliseconds

    /** Time for which the endpoint's response has not been read because the caller lags behind. */
    val unreadMs: Long get() = response.pausedMs

    suspend fun head(): Either<AttemptFailure, ResponseHead> =
        response
            .head()
            .onRight(::onHead)
            .onLeft { onBroken() }

    private fun onHead(head: ResponseHead) {
        if (protocol.isWrongEndpoint(head.status, head.headers)) return tracker.recordReplaced("answer")
        if (head.status < STATUS_SERVER_ERROR) inFlight.onResponseStarted() else tracker.health.recordFailure()
    }

    suspend fun next(): ResponsePart = response.next().also(::onPart)

    /** Next part, or null if none arrives within [timeoutMs]; the attempt may be read further after that. */
    suspend fun nextWithin(timeoutMs: Long): ResponsePart? = response.nextWithin(timeoutMs)?.also(::onPart)

    private fun onPart(part: ResponsePart) {
        if (part is ResponsePart.Broken) onBroken()
    }

    private fun onBroken() {
        tracker.recordUnreachable("answer")
    }

    override fun close() {
        inFlight.end()
        connection.cancel(response)
        response.discard()
    }

    private companion object {
        const val STATUS_SERVER_ERROR = 500
    }
}
