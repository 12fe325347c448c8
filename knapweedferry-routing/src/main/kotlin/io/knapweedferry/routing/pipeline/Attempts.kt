package io.knapweedferry.routing.pipeline

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import io.knapweedferry.routing.call.AttemptTerms
import io.knapweedferry.routing.call.CallDialect
import io.knapweedferry.routing.call.CallRequest
import io.knapweedferry.routing.call.ControlRequest
import io.knapweedferry.routing.fleet.Choice
import io.knapweedferry.routing.fleet.EndpointChooser
import io.knapweedferry.routing.model.RoutedEndpoint
import io.knapweedferry.routing.upstream.AttemptFailure
import io.knapweedferry.routing.upstream.EndpointPool
import io.knapweedferry.routing.upstream.OutboundRequest
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/** Sends requests to single endpoints and keeps account of them. */
internal class Attempts(
    private val pool: EndpointPool,
    private val chooser: EndpointChooser,
    private val dialect: CallDialect,
    private val scope: CoroutineScope,
) {
    /** Opens an attempt at the chosen endpoint; whoever opened it must close it. */
    suspend fun open(
        record: CallRecord,
        choice: Choice,
        terms: AttemptTerms,
        plan: AttemptPlan,
    ): Either<AttemptFailure, Attempt> {
        val endpoint = choice.endpoint
        val ledger = chooser.ledger(endpoint.id)
        val entry = ledger.begin(plan.kvTokens, plan.unreadTokens, plan.usualMs)
        var opened = false
        try {
            val connected = pool.acquire(endpoint, plan.maxIdleMs)
            return connected
                .onLeft {
                    ledger.noteUnreachable("connect")
                    record.note("unreachable:${endpoint.id.value}")
                }.map { connection ->
                    val answer = connection.send(outbound(record.call, endpoint, terms))
                    record.noteSent(choice, terms)
                    opened = true
                    Attempt(endpoint, entry, ledger, connection, answer, dialect)
                }
        } finally {
            if (!opened) entry.end()
        }
    }

    /** Runs an attempt whose whole answer is wanted. */
    suspend fun whole(
        record: CallRecord,
        choice: Choice,
        terms: AttemptTerms,
        plan: AttemptPlan,
    ): Either<AttemptFailure, WholeAnswer> =
        open(record, choice, terms, plan).flatMap { attempt ->
            attempt.use {
                it.head().flatMap { head ->
                    WholeBody.read(WholeBody.MAX_BYTES, it::next).map { body -> WholeAnswer(head.status, head.headers, body) }
                }
            }
        }

    /** Sends a request of the router itself and returns its whole answer. */
    suspend fun control(
        endpoint: RoutedEndpoint,
        request: ControlRequest,
        timeoutMs: Long,
    ): Either<AttemptFailure, WholeAnswer> =
        withTimeoutOrNull(timeoutMs) { exchange(endpoint, request) }
            ?: AttemptFailure.Unanswered("no answer within $timeoutMs ms").left()

    /** Like [control], with nothing waiting for the answer. */
    fun controlLater(
        endpoint: RoutedEndpoint,
        request: ControlRequest,
    ) {
        scope.launch { control(endpoint, request, CONTROL_TIMEOUT_MS) }
    }

    private suspend fun exchange(
        endpoint: RoutedEndpoint,
        request: ControlRequest,
    ): Either<AttemptFailure, WholeAnswer> {
        val headers = DefaultHttpHeaders().add(request.headers).set(HttpHeaderNames.HOST, endpoint.hostHeader())
        if (request.body.isNotEmpty()) {
            headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json").set(HttpHeaderNames.CONTENT_LENGTH, request.body.size)
        }
        return pool.acquire(endpoint, Long.MAX_VALUE).flatMap { connection ->
            val answer = connection.send(OutboundRequest(request.method, request.target, headers, request.body, null))
            try {
                answer.head().flatMap { head ->
                    WholeBody.read(WholeBody.MAX_SHORT_BYTES, answer::next).map { WholeAnswer(head.status, head.headers, it) }
                }
            } finally {
                connection.cancel(answer)
            }
        }
    }

    private fun outbound(
        call: CallRequest,
        endpoint: RoutedEndpoint,
        terms: AttemptTerms,
    ): OutboundRequest {
        val headers = dialect.endpointHeaders(call, terms)
        if (call.body.isNotEmpty() || call.method == HttpMethod.POST || call.method == HttpMethod.PUT) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, call.body.size)
        }
        if (!headers.contains(HttpHeaderNames.HOST)) headers.set(HttpHeaderNames.HOST, endpoint.hostHeader())
        return OutboundRequest(call.method, call.target, headers, call.body, call.traits.requestId)
    }

    private fun RoutedEndpoint.hostHeader() = "${address.hostString}:${address.port}"

    private companion object {
        const val CONTROL_TIMEOUT_MS = 1_000L
    }
}
