package io.knapweedferry.sidecar.server

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import io.knapweedferry.api.ClaimRef
import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.api.message.Invoke
import io.knapweedferry.config.state.OperationPolicy
import io.knapweedferry.policy.admission.Ticket
import io.knapweedferry.policy.admission.TicketId
import io.knapweedferry.session.ReplySink
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicLong

/** Calls plain services, at most once for each claim. */
internal class InvokeHandler(
    private val context: SidecarContext,
    private val access: EndpointAccess,
    private val claims: ClaimTable,
    private val replies: Replies,
) {
    private val nextTicket = AtomicLong()

    suspend fun handle(
        endpoint: ServiceEndpoint,
        request: Invoke,
        sink: ReplySink,
    ) {
        val key = WorkKey(request.organisation, request.requestId, request.attempt)
        val claim = request.claim
        if (claim != null && claim.incarnation != context.settings.incarnation) {
            return replies.refuse(sink, Refusal(RefusalReason.STALE_INCARNATION), endpoint.gate.load())
        }
        if (claim != null && claims.find(claim) != null) return answerKnown(endpoint, request, claim, key, sink)
        val policy = policy(endpoint, request).getOrElse { return replies.refuse(sink, it, endpoint.gate.load()) }
        val work = InvokeWork(key) { claim?.let(claims::refuse) }
        enter(endpoint, work)?.let { return replies.refuse(sink, it, endpoint.gate.load()) }
        try {
            admitAndCall(endpoint, work, request, policy, sink)
        } finally {
            endpoint.works.remove(work)
            endpoint.state.leave()
        }
    }

    private suspend fun admitAndCall(
        endpoint: ServiceEndpoint,
        work: InvokeWork,
        request: Invoke,
        policy: OperationPolicy,
        sink: ReplySink,
    ) {
        val startedAtMs = context.clock.nowMs()
        val ticket = ticket(request, startedAtMs)
        val decision = whileWanted(sink, work.over) { endpoint.gate.admit(ticket) }
        if (decision is Either.Left) return replies.refuse(sink, decision.value, endpoint.gate.load())
        try {
            val submitted = decision != null && work.submit()
            if (!submitted) return replies.refuse(sink, Refusal(RefusalReason.LEASE_EXPIRED, "cancelled while it waited"))
            val claim = request.claim
            if (claim != null && claims.dispatch(claim) != null) return answerKnown(endpoint, request, claim, work.key, sink)
            val leftMs = request.deadlineMs - (context.clock.nowMs() - startedAtMs)
            reply(endpoint, ServiceCall(endpoint, claims).run(work, request, minOf(leftMs, policy.timeoutMs), sink), work.key, sink)
        } finally {
            endpoint.gate.release(ticket.id)
        }
    }

    private suspend fun reply(
        endpoint: ServiceEndpoint,
        outcome: CallOutcome,
        key: WorkKey,
        sink: ReplySink,
    ) {
        val load = endpoint.gate.load()
        when (outcome) {
            is CallOutcome.Answered -> sink.send(outcome.answer.copy(load = load))
            is CallOutcome.Failed -> replies.fail(sink, key, outcome.reason, outcome.detail, load)
            is CallOutcome.NotSent -> replies.refuse(sink, outcome.refusal, load)
        }
    }

    /** Answers a claim that was decided before, waiting for its outcome if it is being dispatched. */
    private suspend fun answerKnown(
        endpoint: ServiceEndpoint,
        request: Invoke,
        claim: ClaimRef,
        key: WorkKey,
        sink: ReplySink,
    ) {
        val load = endpoint.gate.load()
        when (val entry = withTimeoutOrNull(request.deadlineMs) { claims.awaitSettled(claim) }) {
            is ClaimEntry.Done -> sink.send(entry.answer.copy(requestId = key.requestId, attempt = key.attempt, load = load))
            is ClaimEntry.Refused ->
                replies.refuse(
                    sink,
                    Refusal(RefusalReason.DUPLICATE_IN_PROGRESS, "the claim was refused before"),
                    load,
                )
            else -> replies.fail(sink, key, FailureReason.SERVICE_SILENT, "the claim was dispatched and has no kept answer", load)
        }
    }

    private fun policy(
        endpoint: ServiceEndpoint,
        request: Invoke,
    ): Either<Refusal, OperationPolicy> {
        val snapshot = access.forService(endpoint, request.service).getOrElse { return it.left() }
        val policy =
            snapshot.state.services[request.service]
                ?.operations
                ?.get(request.operation)
        if (policy == null) return Refusal(RefusalReason.UNKNOWN_SERVICE, request.operation.value).left()
        if (!policy.repeatable && request.claim == null) return Refusal(RefusalReason.KEY_REQUIRED).left()
        return policy.right()
    }

    private fun enter(
        endpoint: ServiceEndpoint,
        work: InvokeWork,
    ): Refusal? {
        endpoint.works.add(work)?.let { return it }
        if (endpoint.state.enter()) return null
        endpoint.works.remove(work)
        return LEAVING
    }

    private fun ticket(
        request: Invoke,
        nowMs: Long,
    ) = Ticket(
        TicketId("i${nextTicket.incrementAndGet()}"),
        request.organisation,
        request.rank,
        pieces = 0,
        grantByMs =
            nowMs + request.deadlineMs,
    )
}
