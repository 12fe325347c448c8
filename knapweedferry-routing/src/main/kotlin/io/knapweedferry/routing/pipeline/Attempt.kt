package io.knapweedferry.routing.pipeline

import arrow.core.Either
import io.knapweedferry.routing.call.CallDialect
import io.knapweedferry.routing.fleet.EndpointLedger
import io.knapweedferry.routing.model.RoutedEndpoint
import io.knapweedferry.routing.upstream.AnswerHead
import io.knapweedferry.routing.upstream.AnswerPart
import io.knapweedferry.routing.upstream.AttemptFailure
import io.knapweedferry.routing.upstream.EndpointConnection
import io.knapweedferry.routing.upstream.PendingAnswer

/** A request that an endpoint works on. Closing it before its end closes the connection, which ends the work. */
internal class Attempt(
    val endpoint: RoutedEndpoint,
    private val entry: EndpointLedger.Entry,
    private val ledger: EndpointLedger,
    private val connection: EndpointConnection,
    private val answer: PendingAnswer,
    private val dialect: CallDialect,
) : AutoCloseable {
    suspend fun head(): Either<AttemptFailure, AnswerHead> =
        answer
            .head()
            .onRight(::noteHead)
            .onLeft { noteBroken() }

    private fun noteHead(head: AnswerHead) {
        if (dialect.isWrongEndpoint(head.status, head.headers)) return ledger.noteReplaced("answer")
        if (head.status < STATUS_SERVER_ERROR) entry.noteFirstAnswer() else ledger.health.failed()
    }

    suspend fun next(): AnswerPart {
        val part = answer.next()
        if (part is AnswerPart.Broken) noteBroken()
        return part
    }

    private fun noteBroken() {
        ledger.noteUnreachable("answer")
    }

    override fun close() {
        entry.end()
        connection.cancel(answer)
    }

    private companion object {
        const val STATUS_SERVER_ERROR = 500
    }
}
