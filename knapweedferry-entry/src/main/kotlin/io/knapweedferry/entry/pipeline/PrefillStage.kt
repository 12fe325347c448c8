package io.knapweedferry.entry.pipeline

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.KvSource
import io.knapweedferry.api.Outcome
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.api.RetryReason
import io.knapweedferry.api.message.AttemptFailed
import io.knapweedferry.api.message.Prefill
import io.knapweedferry.api.message.Prefilled
import io.knapweedferry.api.message.Refused
import io.knapweedferry.config.state.EndpointRole
import io.knapweedferry.entry.fleet.FleetMember
import io.knapweedferry.entry.fleet.FleetView
import io.knapweedferry.entry.fleet.LoadBoard
import io.knapweedferry.entry.fleet.ask
import io.knapweedferry.session.SessionClient
import io.knapweedferry.session.SessionError
import io.knapweedferry.telemetry.TraceStage

/** Computes the KV cache on a prefill endpoint, or leaves it to the decode endpoint where that may prefill itself. */
internal class PrefillStage(
    private val fleet: FleetView,
    private val loads: LoadBoard,
    private val candidates: CandidateList,
    private val sessions: SessionClient,
) {
    /** Null means that the decode endpoint computes the prompt itself. [placement] is null if none is reserved yet. */
    suspend fun prefill(
        attempt: ModelAttempt,
        placement: Placement?,
    ): Either<AttemptEnd, KvSource?> {
        val members = candidates.forModel(fleet.current().enginesFor(attempt.job.model, setOf(EndpointRole.PREFILL)), attempt.job)
        if (placement != null && decodesAlone(attempt.job, placement, members)) {
            trace(attempt, placement.member, "left to the decode endpoint", "short prompt or no prefill endpoint")
            return null.right()
        }
        if (members.isEmpty()) return AttemptEnd.Final(Outcome.NotRun(Refusal(RefusalReason.NO_ENDPOINT, "no prefill endpoint"))).left()
        var last: AttemptEnd = AttemptEnd.Final(Outcome.NotRun(Refusal(RefusalReason.DEADLINE)))
        for (member in members.take(MAX_PROBES)) {
            if (attempt.job.firstTokenDueMs() <= 0) return last.left()
            run(attempt, member).fold({ last = it }, { return it.right() })
        }
        return last.left()
    }

    private fun decodesAlone(
        job: ModelJob,
        placement: Placement,
        prefillMembers: List<FleetMember>,
    ): Boolean {
        if (placement.member.assignment.role != EndpointRole.MIXED) return false
        return prefillMembers.isEmpty() || job.promptTokens <= LOCAL_PREFILL_TOKENS
    }

    private suspend fun run(
        attempt: ModelAttempt,
        member: FleetMember,
    ): Either<AttemptEnd, KvSource> {
        attempt.touched += member
        loads.started(member.endpoint)
        val submittedBefore = attempt.submitted
        attempt.submitted = true
        val reply =
            try {
                sessions.ask(member.address, request(attempt, member))
            } finally {
                loads.ended(member.endpoint)
            }
        return reply.fold(
            { error ->
                loads.avoid(member.endpoint)
                trace(attempt, member, "unreachable", error.message)
                if (error !is SessionError.Lost) attempt.submitted = submittedBefore
                unanswered(error)
            },
            { message ->
                when (message) {
                    is Prefilled -> prefilled(attempt, member, message)
                    is Refused -> refused(attempt, member, message).also { attempt.submitted = submittedBefore }
                    is AttemptFailed -> {
                        loads.heard(message.load)
                        trace(attempt, member, "failed", message.detail)
                        failed(message.reason, message.detail)
                    }
                    else -> failed(FailureReason.PREFILL_FAILED, "unexpected reply")
                }
            },
        )
    }

    /** A request that never left this process is a refusal; after that the engine may have worked on it. */
    private fun unanswered(error: SessionError): Either<AttemptEnd, KvSource> {
        if (error is SessionError.Lost) return failed(FailureReason.SESSION_LOST, error.message)
        val refusal = Refusal(RefusalReason.ENDPOINT_UNAVAILABLE, error.message)
        return AttemptEnd.retryRefused(RetryReason.REFUSED_BY_SIDECAR, refusal).left()
    }

    private fun prefilled(
        attempt: ModelAttempt,
        member: FleetMember,
        done: Prefilled,
    ): Either<AttemptEnd, KvSource> {
        loads.heard(done.load)
        candidates.prefilled(member, attempt.job)
        val timing = "queued ${done.queuedMs} ms, computed ${done.prefillMs} ms, ${done.cachedTokens} tokens cached"
        trace(attempt, member, "prefilled", timing)
        return done.source.right()
    }

    private fun trace(
        attempt: ModelAttempt,
        member: FleetMember,
        decision: String,
        reason: String,
    ) {
        attempt.observer.decided(TraceStage.PREFILL, decision, reason, "endpoint" to member.endpoint.value, "attempt" to attempt.number)
    }

    private fun refused(
        attempt: ModelAttempt,
        member: FleetMember,
        refused: Refused,
    ): Either<AttemptEnd, KvSource> {
        loads.heard(refused.load)
        trace(attempt, member, "refused", refused.refusal.message)
        attempt.touched -= member
        if (refused.refusal.reason == RefusalReason.ENDPOINT_LEAVING) loads.avoid(member.endpoint)
        return AttemptEnd.retryRefused(RetryReason.REFUSED_BY_SIDECAR, refused.refusal).left()
    }

    private fun request(
        attempt: ModelAttempt,
        member: FleetMember,
    ) = Prefill(
        requestId = attempt.job.requestId,
        attempt = attempt.number,
        endpoint = member.endpoint,
        organisation = attempt.job.organisation,
        model = attempt.job.model,
        rank = attempt.job.rank,
        prompt = attempt.job.prompt,
        promptTokens = attempt.job.promptTokens,
        firstTokenDueMs = attempt.job.firstTokenDueMs(),
        deadlineMs = attempt.job.deadlineMs(),
    )

    private fun failed(
        reason: FailureReason,
        detail: String,
    ) = AttemptEnd.retryFailed(RetryReason.PREFILL_FAILED, reason, detail).left()

    private companion object {
        const val MAX_PROBES = 2

        /** Below this size a prefill on the decode endpoint costs less than moving the cache. */
        const val LOCAL_PREFILL_TOKENS = 64
    }
}
