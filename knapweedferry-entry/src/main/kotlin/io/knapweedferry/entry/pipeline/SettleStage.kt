package io.knapweedferry.entry.pipeline

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.knapweedferry.api.Answer
import io.knapweedferry.api.ClaimRef
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.Outcome
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.api.RetryReason
import io.knapweedferry.api.UnknownReason
import io.knapweedferry.api.message.ClaimQuery
import io.knapweedferry.api.message.ClaimState
import io.knapweedferry.api.message.ClaimStatus
import io.knapweedferry.entry.claim.ClaimService
import io.knapweedferry.entry.fleet.ask
import io.knapweedferry.session.SessionClient
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

/** Finds out from the sidecar that a claim names what became of it; asks again while the work is in progress. */
internal class SettleStage(
    private val sessions: SessionClient,
    private val claims: ClaimService,
) {
    suspend fun settle(
        address: String,
        endpoint: EndpointId,
        claim: ClaimRef,
        job: ServiceJob,
    ): Either<AttemptEnd, Outcome> {
        while (job.deadlineMs() > 0) {
            val status = sessions.ask(address, ClaimQuery(endpoint, claim)).getOrNull() as? ClaimStatus
            if (status != null) decide(status, claim, job)?.let { return it }
            delay(POLL_MS.milliseconds)
        }
        return unknown(UnknownReason.SIDECAR_LOST, "the sidecar of ${endpoint.value} did not say what became of the claim")
    }

    /** Null while nothing is decided yet. */
    private suspend fun decide(
        status: ClaimStatus,
        claim: ClaimRef,
        job: ServiceJob,
    ): Either<AttemptEnd, Outcome>? =
        when (status.state) {
            ClaimState.DONE -> status.answer?.let { kept(Answer.ServiceReply(it.status, it.contentType, it.body)) }
            ClaimState.IN_PROGRESS, ClaimState.REFUSED -> null
            ClaimState.UNKNOWN -> unknown(UnknownReason.SERVICE_SILENT, "the service did not answer the call")
            ClaimState.OTHER_INCARNATION -> unknown(UnknownReason.SIDECAR_LOST, "the sidecar that held the claim was restarted")
            ClaimState.VOIDED -> claimAnew(claim, job)
        }

    private suspend fun claimAnew(
        claim: ClaimRef,
        job: ServiceJob,
    ): Either<AttemptEnd, Outcome> {
        val visible = claims.awaitVoid(claim, job.deadlineMs())
        val refusal = Refusal(RefusalReason.STALE_INCARNATION, "an earlier claim was never dispatched and is void")
        if (visible) return AttemptEnd.retryRefused(RetryReason.REFUSED_BY_SIDECAR, refusal).left()
        return AttemptEnd.Final(Outcome.NotRun(Refusal(RefusalReason.LOG_UNAVAILABLE))).left()
    }

    private fun kept(answer: Answer): Either<AttemptEnd, Outcome> = Outcome.Completed(answer).right()

    private fun unknown(
        reason: UnknownReason,
        detail: String,
    ): Either<AttemptEnd, Outcome> = Outcome.Unknown(reason, detail).right()

    private companion object {
        const val POLL_MS = 100L
    }
}
