package io.knapweedferry.entry.pipeline

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.knapweedferry.api.Outcome
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.api.RetryReason
import io.knapweedferry.api.message.Attach
import io.knapweedferry.api.message.Refused
import io.knapweedferry.api.message.Reserve
import io.knapweedferry.api.message.Reserved
import io.knapweedferry.config.state.EndpointRole
import io.knapweedferry.entry.fleet.EndpointLoadTracker
import io.knapweedferry.entry.fleet.FleetMember
import io.knapweedferry.entry.fleet.FleetView
import io.knapweedferry.entry.fleet.call
import io.knapweedferry.session.SessionClient
import io.knapweedferry.telemetry.TraceStage

/**
 * Reserves decode capacity. By default this comes before the prefill, because a prefill is wasted if no decode capacity is
 * available within a second after it.
 */
internal class PlacementStage(
    private val fleet: FleetView,
    private val loads: EndpointLoadTracker,
    private val candidates: CandidateSelector,
    private val sessions: SessionClient,
) {
    suspend fun place(attempt: ModelAttempt): Either<AttemptError, Placement> {
        val members = candidates.forModel(fleet.current().enginesFor(attempt.job.model, DECODE_ROLES), attempt.job)
        val triedFirst = members.take(MAX_ENDPOINTS_PER_ATTEMPT).joinToString(",") { it.endpoint.value }
        attempt.observer.recordDecision(TraceStage.PLACE, "ordered", "", "candidates" to members.size, "tried_first" to triedFirst)
        if (members.isEmpty()) return notRun(Refusal(RefusalReason.NO_ENDPOINT, retryAfterMs = RETRY_AFTER_MS))
        var lastError: AttemptError = AttemptError.Terminal(Outcome.NotRun(Refusal(RefusalReason.NO_ENDPOINT)))
        for (member in members.take(MAX_ENDPOINTS_PER_ATTEMPT)) {
            if (attempt.job.msUntilFirstTokenDeadline() <= 0) {
                return notRun(Refusal(RefusalReason.DEADLINE, "no decode capacity was reserved before the first token was due"))
            }
            reserve(attempt, member).fold({ lastError = it }, { return it.right() })
            if (lastError is AttemptError.Terminal) return lastError.left()
        }
        return lastError.left()
    }

    /** Returns a placement that attaches to the stream of a reconnecting caller, or null if its endpoint is unknown. */
    fun placementOf(
        job: ModelJob,
        resume: ResumePoint,
    ): Placement? {
        val member = fleet.memberOf(resume.endpoint) ?: return null
        return Placement(member, null, Attach(job.requestId, job.organisation, resume.endpoint, resume.position))
    }

    private suspend fun reserve(
        attempt: ModelAttempt,
        member: FleetMember,
    ): Either<AttemptError, Placement> {
        attempt.involvedMembers += member
        loads.requestStarted(member.endpoint)
        val reply =
            try {
                sessions.call(member.address, request(attempt, member))
            } finally {
                loads.requestEnded(member.endpoint)
            }
        return reply.fold(
            { error ->
                loads.avoid(member.endpoint)
                traceReserve(attempt, member, "unreachable", error.message)
                retryable(Refusal(RefusalReason.ENDPOINT_UNAVAILABLE, error.message))
            },
            { message ->
                when (message) {
                    is Reserved -> granted(attempt, member, message)
                    is Refused -> refused(attempt, member, message)
                    else -> retryable(Refusal(RefusalReason.ENDPOINT_UNAVAILABLE, "the sidecar sent a reply of an unexpected type"))
                }
            },
        )
    }

    private fun granted(
        attempt: ModelAttempt,
        member: FleetMember,
        reserved: Reserved,
    ): Either<AttemptError, Placement> {
        loads.recordLoad(reserved.load)
        traceReserve(attempt, member, "granted", "queued ${reserved.queuedMs} ms")
        return Placement(member, reserved.lease, attach = null).right()
    }

    private fun refused(
        attempt: ModelAttempt,
        member: FleetMember,
        refused: Refused,
    ): Either<AttemptError, Placement> {
        loads.recordLoad(refused.load)
        traceReserve(attempt, member, "refused", refused.refusal.message)
        attempt.involvedMembers -= member
        val reason = refused.refusal.reason
        // The request is still running on this endpoint for an entry that crashed; this attempt attaches to its stream.
        if (reason == RefusalReason.DUPLICATE_IN_PROGRESS) return Placement(member, null, attachTo(attempt, member)).right()
        if (reason in AVOID_ENDPOINT_REASONS) loads.avoid(member.endpoint)
        if (reason in TERMINAL_REASONS) return AttemptError.Terminal(Outcome.NotRun(refused.refusal)).left()
        return retryable(refused.refusal)
    }

    private fun traceReserve(
        attempt: ModelAttempt,
        member: FleetMember,
        decision: String,
        reason: String,
    ) {
        attempt.observer.recordDecision(
            TraceStage.RESERVE,
            decision,
            reason,
            "endpoint" to member.endpoint.value,
            "attempt" to attempt.number,
        )
    }

    private fun attachTo(
        attempt: ModelAttempt,
        member: FleetMember,
    ) = Attach(attempt.job.requestId, attempt.job.organisation, member.endpoint, attempt.assembler.position)

    private fun request(
        attempt: ModelAttempt,
        member: FleetMember,
    ) = Reserve(
        requestId = attempt.job.requestId,
        attempt = attempt.number,
        endpoint = member.endpoint,
        organisation = attempt.job.organisation,
        model = attempt.job.model,
        rank = attempt.job.rank,
        promptTokens = attempt.job.promptTokens,
        maxOutputTokens = attempt.job.maxOutputTokens,
        firstTokenDueMs = attempt.job.msUntilFirstTokenDeadline(),
        deadlineMs = attempt.job.remainingMs(),
    )

    private fun retryable(refusal: Refusal) = AttemptError.retryableRefusal(RetryReason.REFUSED_BY_SIDECAR, refusal).left()

    private fun notRun(refusal: Refusal) = AttemptError.Terminal(Outcome.NotRun(refusal)).left()

    private companion object {
        /** Each reservation request costs a round trip, which counts towards the time to first token. */
        const val MAX_ENDPOINTS_PER_ATTEMPT = 3
        const val RETRY_AFTER_MS = 2_000L
        val DECODE_ROLES = setOf(EndpointRole.DECODE, EndpointRole.MIXED)
        val AVOID_ENDPOINT_REASONS =
            setOf(RefusalReason.ENDPOINT_LEAVING, RefusalReason.ENDPOINT_UNAVAILABLE, RefusalReason.WRONG_MODEL)
        val TERMINAL_REASONS = setOf(RefusalReason.DEADLINE, RefusalReason.PROMPT_TOO_LONG)
    }
}
