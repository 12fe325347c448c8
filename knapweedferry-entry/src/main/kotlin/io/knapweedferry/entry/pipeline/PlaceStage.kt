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
import io.knapweedferry.entry.fleet.FleetMember
import io.knapweedferry.entry.fleet.FleetView
import io.knapweedferry.entry.fleet.LoadBoard
import io.knapweedferry.entry.fleet.ask
import io.knapweedferry.session.SessionClient
import io.knapweedferry.telemetry.TraceStage

/**
 * Reserves decode capacity before anything is computed, because a prefill without a place to decode is wasted within a
 * second.
 */
internal class PlaceStage(
    private val fleet: FleetView,
    private val loads: LoadBoard,
    private val candidates: CandidateList,
    private val sessions: SessionClient,
) {
    suspend fun place(attempt: ModelAttempt): Either<AttemptEnd, Placement> {
        val members = candidates.forModel(fleet.current().enginesFor(attempt.job.model, DECODE_ROLES), attempt.job)
        val tried = members.take(MAX_PROBES).joinToString(",") { it.endpoint.value }
        attempt.observer.decided(TraceStage.PLACE, "ordered", "", "candidates" to members.size, "tried_first" to tried)
        if (members.isEmpty()) return notRun(Refusal(RefusalReason.NO_ENDPOINT, retryAfterMs = RETRY_AFTER_MS))
        var last: AttemptEnd = AttemptEnd.Final(Outcome.NotRun(Refusal(RefusalReason.NO_ENDPOINT)))
        for (member in members.take(MAX_PROBES)) {
            if (attempt.job.firstTokenDueMs() <= 0) return notRun(Refusal(RefusalReason.DEADLINE, "no place found in time"))
            reserve(attempt, member).fold({ last = it }, { return it.right() })
            if (last is AttemptEnd.Final) return last.left()
        }
        return last.left()
    }

    /** Placement on the stream that a returning caller names, or null if its endpoint is unknown. */
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
    ): Either<AttemptEnd, Placement> {
        attempt.touched += member
        loads.started(member.endpoint)
        val reply =
            try {
                sessions.ask(member.address, request(attempt, member))
            } finally {
                loads.ended(member.endpoint)
            }
        return reply.fold(
            { error ->
                loads.avoid(member.endpoint)
                traceReserve(attempt, member, "unreachable", error.message)
                retry(Refusal(RefusalReason.ENDPOINT_UNAVAILABLE, error.message))
            },
            { message ->
                when (message) {
                    is Reserved -> granted(attempt, member, message)
                    is Refused -> refused(attempt, member, message)
                    else -> retry(Refusal(RefusalReason.ENDPOINT_UNAVAILABLE, "unexpected reply"))
                }
            },
        )
    }

    private fun granted(
        attempt: ModelAttempt,
        member: FleetMember,
        reserved: Reserved,
    ): Either<AttemptEnd, Placement> {
        loads.heard(reserved.load)
        traceReserve(attempt, member, "granted", "queued ${reserved.queuedMs} ms")
        return Placement(member, reserved.lease, attach = null).right()
    }

    private fun refused(
        attempt: ModelAttempt,
        member: FleetMember,
        refused: Refused,
    ): Either<AttemptEnd, Placement> {
        loads.heard(refused.load)
        traceReserve(attempt, member, "refused", refused.refusal.message)
        attempt.touched -= member
        val reason = refused.refusal.reason
        // The same request still runs there, left behind by an entry that died: its stream is taken over.
        if (reason == RefusalReason.DUPLICATE_IN_PROGRESS) return Placement(member, null, attachTo(attempt, member)).right()
        if (reason in LEAVING_REASONS) loads.avoid(member.endpoint)
        if (reason in FINAL_REASONS) return AttemptEnd.Final(Outcome.NotRun(refused.refusal)).left()
        return retry(refused.refusal)
    }

    private fun traceReserve(
        attempt: ModelAttempt,
        member: FleetMember,
        decision: String,
        reason: String,
    ) {
        attempt.observer.decided(TraceStage.RESERVE, decision, reason, "endpoint" to member.endpoint.value, "attempt" to attempt.number)
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
        firstTokenDueMs = attempt.job.firstTokenDueMs(),
        deadlineMs = attempt.job.deadlineMs(),
    )

    private fun retry(refusal: Refusal) = AttemptEnd.retryRefused(RetryReason.REFUSED_BY_SIDECAR, refusal).left()

    private fun notRun(refusal: Refusal) = AttemptEnd.Final(Outcome.NotRun(refusal)).left()

    private companion object {
        /** More probes would spend the time to the first token on asking. */
        const val MAX_PROBES = 3
        const val RETRY_AFTER_MS = 2_000L
        val DECODE_ROLES = setOf(EndpointRole.DECODE, EndpointRole.MIXED)
        val LEAVING_REASONS =
            setOf(RefusalReason.ENDPOINT_LEAVING, RefusalReason.ENDPOINT_UNAVAILABLE, RefusalReason.WRONG_MODEL)
        val FINAL_REASONS = setOf(RefusalReason.DEADLINE, RefusalReason.PROMPT_TOO_LONG)
    }
}
