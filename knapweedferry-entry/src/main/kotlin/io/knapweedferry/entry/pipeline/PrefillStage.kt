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
import io.knapweedferry.entry.fleet.EndpointLoadTracker
import io.knapweedferry.entry.fleet.FleetMember
import io.knapweedferry.entry.fleet.FleetView
import io.knapweedferry.entry.fleet.call
import io.knapweedferry.session.SessionClient
import io.knapweedferry.session.SessionError
import io.knapweedferry.telemetry.TraceStage

/** Computes the KV cache on a prefill endpoint, or leaves the prefill to a decode endpoint that can do both. */
internal class PrefillStage(
    private val fleet: FleetView,
    private val loads: EndpointLoadTracker,
    private val candidates: CandidateSelector,
    private val sessions: SessionClient,
) {
    /**
     * Returns the location of the KV cache, or null if the decode endpoint does the prefill itself. [placement] is null if no
     * decode capacity is reserved yet.
     */
    suspend fun prefill(
        attempt: ModelAttempt,
        placement: Placement?,
    ): Either<AttemptError, KvSource?> {
        val members = candidates.forModel(fleet.current().enginesFor(attempt.job.model, setOf(EndpointRole.PREFILL)), attempt.job)
        if (placement != null && prefillsLocally(attempt.job, placement, members)) {
            trace(attempt, placement.member, "left to the decode endpoint", "short prompt or no prefill endpoint")
            return null.right()
        }
        if (members.isEmpty()) {
            return AttemptError
                .Terminal(
                    Outcome.NotRun(Refusal(RefusalReason.NO_ENDPOINT, "no prefill endpoint")),
                ).left()
        }
        var lastError: AttemptError = AttemptError.Terminal(Outcome.NotRun(Refusal(RefusalReason.DEADLINE)))
        for (member in members.take(MAX_ENDPOINTS_PER_ATTEMPT)) {
            if (attempt.job.msUntilFirstTokenDeadline() <= 0) return lastError.left()
            prefillOn(attempt, member).fold({ lastError = it }, { return it.right() })
        }
        return lastError.left()
    }

    private fun prefillsLocally(
        job: ModelJob,
        placement: Placement,
        prefillMembers: List<FleetMember>,
    ): Boolean {
        if (placement.member.assignment.role != EndpointRole.MIXED) return false
        return prefillMembers.isEmpty() || job.promptTokens <= MAX_LOCAL_PREFILL_TOKENS
    }

    private suspend fun prefillOn(
        attempt: ModelAttempt,
        member: FleetMember,
    ): Either<AttemptError, KvSource> {
        attempt.involvedMembers += member
        loads.requestStarted(member.endpoint)
        val submittedBefore = attempt.maybeSubmitted
        attempt.maybeSubmitted = true
        val reply =
            try {
                sessions.call(member.address, request(attempt, member))
            } finally {
                loads.requestEnded(member.endpoint)
            }
        return reply.fold(
            { error ->
                loads.avoid(member.endpoint)
                trace(attempt, member, "unreachable", error.message)
                if (error !is SessionError.Lost) attempt.maybeSubmitted = submittedBefore
                unanswered(error)
            },
            { message ->
                when (message) {
                    is Prefilled -> prefilled(attempt, member, message)
                    is Refused -> refused(attempt, member, message).also { attempt.maybeSubmitted = submittedBefore }
                    is AttemptFailed -> {
                        loads.recordLoad(message.load)
                        trace(attempt, member, "failed", message.detail)
                        failed(message.reason, message.detail)
                    }
                    else -> failed(FailureReason.PREFILL_FAILED, "the sidecar sent a reply of an unexpected type")
                }
            },
        )
    }

    /** A request that was never sent counts as refused; once it was sent, the engine may have run it. */
    private fun unanswered(error: SessionError): Either<AttemptError, KvSource> {
        if (error is SessionError.Lost) return failed(FailureReason.SESSION_LOST, error.message)
        val refusal = Refusal(RefusalReason.ENDPOINT_UNAVAILABLE, error.message)
        return AttemptError.retryableRefusal(RetryReason.REFUSED_BY_SIDECAR, refusal).left()
    }

    private fun prefilled(
        attempt: ModelAttempt,
        member: FleetMember,
        done: Prefilled,
    ): Either<AttemptError, KvSource> {
        loads.recordLoad(done.load)
        candidates.recordPrefill(member, attempt.job)
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
        attempt.observer.recordDecision(
            TraceStage.PREFILL,
            decision,
            reason,
            "endpoint" to member.endpoint.value,
            "attempt" to attempt.number,
        )
    }

    private fun refused(
        attempt: ModelAttempt,
        member: FleetMember,
        refused: Refused,
    ): Either<AttemptError, KvSource> {
        loads.recordLoad(refused.load)
        trace(attempt, member, "refused", refused.refusal.message)
        attempt.involvedMembers -= member
        if (refused.refusal.reason == RefusalReason.ENDPOINT_LEAVING) loads.avoid(member.endpoint)
        return AttemptError.retryableRefusal(RetryReason.REFUSED_BY_SIDECAR, refused.refusal).left()
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
        firstTokenDueMs = attempt.job.msUntilFirstTokenDeadline(),
        deadlineMs = attempt.job.remainingMs(),
    )

    private fun failed(
        reason: FailureReason,
        detail: String,
    ) = AttemptError.retryableFailure(RetryReason.PREFILL_FAILED, reason, detail).left()

    private companion object {
        const val MAX_ENDPOINTS_PER_ATTEMPT = 2

        /** Up to this size, a prefill on the decode endpoint costs less than a transfer of the KV cache. */
        const val MAX_LOCAL_PREFILL_TOKENS = 64
    }
}
