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
import io.knapweedferry.entry.fleet.call
import io.knapweedferry.session.SessionClient
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.milliseconds

/** Asks the sidecar that holds a claim for the outcome of the claimed call, and polls while the call is in progress. */
internal class ClaimOutcomeResolver(
    private val sessions: SessionClient,
    private val claims: ClaimService,
) {
    suspend fun resolve(
        address: String,
        endpoint: EndpointId,
        claim: ClaimRef,
        job: ServiceJob,
    ): Either<AttemptError, Outcome> {
        while (job.remainingMs() > 0) {
            val status = sessions.call(address, ClaimQuery(endpoint, claim)).getOrNull() as? ClaimStatus
            if (status != null) outcomeOf(status, claim, job)?.let { return it }
            delay(POLL_INTERVAL_MS.milliseconds)
        }
        return unknown(UnknownReason.SIDECAR_LOST, "the sidecar of ${endpoint.value} did not report the outcome of the claim")
    }

    /** Returns null while the outcome is not known yet. */
    private suspend fun outcomeOf(
        status: ClaimStatus,
        claim: ClaimRef,
        job: ServiceJob,
    ): Either<AttemptError, Outcome>? =
        when (status.state) {
            ClaimState.DONE -> status.answer?.let { completed(Answer.ServiceReply(it.status, it.contentType, it.body)) }
            ClaimState.IN_PROGRESS, ClaimState.REFUSED -> null
            ClaimState.UNKNOWN -> unknown(UnknownReason.SERVICE_SILENT, "the service did not answer the call")
            ClaimState.OTHER_INCARNATION -> unknown(UnknownReason.SIDECAR_LOST, "the sidecar that held the claim was restarted")
            ClaimState.VOIDED -> retryAfterVoid(claim, job)
        }

    private suspend fun retryAfterVoid(
        claim: ClaimRef,
        job: ServiceJob,
    ): Either<AttemptError, Outcome> {
        val voidWasRead = claims.awaitVoid(claim, job.remainingMs())
        val refusal = Refusal(RefusalReason.STALE_INCARNATION, "an earlier claim was never dispatched and is void")
        if (voidWasRead) return AttemptError.retryableRefusal(RetryReason.REFUSED_BY_SIDECAR, refusal).left()
        return AttemptError.Terminal(Outcome.NotRun(Refusal(RefusalReason.LOG_UNAVAILABLE))).left()
    }

    private fun completed(answer: Answer): Either<AttemptError, Outcome> = Outcome.Completed(answer).right()

    private fun unknown(
        reason: UnknownReason,
        detail: String,
    ): Either<AttemptError, Outcome> = Outcome.Unknown(reason, detail).right()

    private companion object {
        const val POLL_INTERVAL_MS = 100L
    }
}
