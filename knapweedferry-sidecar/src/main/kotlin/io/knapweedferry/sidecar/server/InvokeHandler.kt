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

/** Calls plain services, at most once per claim. */
internal class InvokeHandler(
    private val context: SidecarContext,
    private val assignmentCheck: AssignmentCheck,
    private val claims: ClaimTable,
    private val replies: ErrorReplies,
) {
    private val nextTicket = AtomicLong()

    suspend fun handle(
        endpoint: ServiceEndpoint,
        request: Invoke,
        sink: ReplySink,
    ) {
        val key = AttemptKey(request.organisation, request.requestId, request.attempt)
        val claim = request.claim
        if (claim != null && claim.incarnation != context.settings.incarnation) {
            return replies.refuse(sink, Refusal(RefusalReason.STALE_INCARNATION), endpoint.gate.load())
        }
        if (claim != null && claims.find(claim) != null) return replyRecordedOutcome(endpoint, request, claim, key, sink)
        val policy = findPolicy(endpoint, request).getOrElse { return replies.refuse(sink, it, endpoint.gate.load()) }
        val attempt = InvokeAttempt(key) { claim?.let(claims::refuse) }
        register(endpoint, attempt)?.let { return replies.refuse(sink, it, endpoint.gate.load()) }
        try {
            admitAndCall(endpoint, attempt, request, policy, sink)
        } finally {
            endpoint.attempts.remove(attempt)
            endpoint.state.end()
        }
    }

    private suspend fun admitAndCall(
        endpoint: ServiceEndpoint,
        attempt: InvokeAttempt,
        request: Invoke,
        policy: OperationPolicy,
        sink: ReplySink,
    ) {
        val startedAtMs = context.clock.nowMs()
        val ticket = ticket(request, startedAtMs)
        val decision = runUntilCancelled(sink, attempt.cancellation) { endpoint.gate.admit(ticket) }
        if (decision is Either.Left) return replies.refuse(sink, decision.value, endpoint.gate.load())
        try {
            val submitted = decision != null && attempt.tryMarkSubmitted()
            if (!submitted) return replies.refuse(sink, Refusal(RefusalReason.LEASE_EXPIRED, "cancelled while queued"))
            val claim = request.claim
            if (claim != null && claims.dispatch(claim) != null) return replyRecordedOutcome(endpoint, request, claim, attempt.key, sink)
            val remainingMs = request.deadlineMs - (context.clock.nowMs() - startedAtMs)
            replyOutcome(
                endpoint,
                ServiceCall(endpoint, claims).run(attempt, request, minOf(remainingMs, policy.timeoutMs), sink),
                attempt.key,
                sink,
            )
        } finally {
            endpoint.gate.release(ticket.id)
        }
    }

    private suspend fun replyOutcome(
        endpoint: ServiceEndpoint,
        outcome: CallOutcome,
        key: AttemptKey,
        sink: ReplySink,
    ) {
        val load = endpoint.gate.load()
        when (outcome) {
            is CallOutcome.Answered -> sink.send(outcome.answer.copy(load = load))
            is CallOutcome.Failed -> replies.fail(sink, key, outcome.reason, outcome.detail, load)
            is CallOutcome.NotSent -> replies.refuse(sink, outcome.refusal, load)
        }
    }

    /** Replies with the recorded outcome of a claim, waiting for it if the claim is in progress. */
    private suspend fun replyRecordedOutcome(
        endpoint: ServiceEndpoint,
        request: Invoke,
        claim: ClaimRef,
        key: AttemptKey,
        sink: ReplySink,
    ) {
        val load = endpoint.gate.load()
        when (val state = withTimeoutOrNull(request.deadlineMs) { claims.awaitOutcome(claim) }) {
            is ClaimDispatchState.Done -> sink.send(state.answer.copy(requestId = key.requestId, attempt = key.attempt, load = load))
            is ClaimDispatchState.Refused ->
                replies.refuse(
                    sink,
                    Refusal(RefusalReason.DUPLICATE_IN_PROGRESS, "the claim was already refused"),
                    load,
                )
            else -> replies.fail(sink, key, FailureReason.SERVICE_SILENT, "the claim was dispatched and its answer is not available", load)
        }
    }

    private fun findPolicy(
        endpoint: ServiceEndpoint,
        request: Invoke,
    ): Either<Refusal, OperationPolicy> {
        val snapshot = assignmentCheck.forService(endpoint, request.service).getOrElse { return it.left() }
        val policy =
            snapshot.state.services[request.service]
                ?.operations
                ?.get(request.operation)
        if (policy == null) return Refusal(RefusalReason.UNKNOWN_SERVICE, request.operation.value).left()
        if (!policy.repeatable && request.claim == null) return Refusal(RefusalReason.KEY_REQUIRED).left()
        return policy.right()
    }

    private fun register(
        endpoint: ServiceEndpoint,
        attempt: InvokeAttempt,
    ): Refusal? {
        endpoint.attempts.add(attempt)?.let { return it }
        if (endpoint.state.tryBegin()) return null
        endpoint.attempts.remove(attempt)
        return ENDPOINT_LEAVING_REFUSAL
    }

    private fun ticket(
        request: Invoke,
        nowMs: Long,
    ) = Ticket(
        TicketId("i${nextTicket.incrementAndGet()}"),
        request.organisation,
        request.rank,
        kvBlocks = 0,
        grantDeadlineMs = nowMs + request.deadlineMs,
    )
}
