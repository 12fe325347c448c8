package io.knapweedferry.entry.pipeline

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.knapweedferry.api.ClaimRef
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.IdempotencyKey
import io.knapweedferry.api.Outcome
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.api.RetryReason
import io.knapweedferry.api.UnknownReason
import io.knapweedferry.api.message.Invoke
import io.knapweedferry.entry.claim.ClaimDecision
import io.knapweedferry.entry.claim.ClaimRequest
import io.knapweedferry.entry.claim.ClaimService
import io.knapweedferry.entry.fleet.FleetMember
import io.knapweedferry.entry.fleet.FleetView
import io.knapweedferry.entry.fleet.IncarnationCache
import io.knapweedferry.entry.observe.RequestObserver
import io.knapweedferry.telemetry.TraceStage
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.milliseconds

/**
 * Runs a service call. A call that must not be repeated is dispatched only after its idempotency key was claimed; repeatable
 * calls need no claim and are retried on other endpoints.
 */
internal class ServicePipeline(
    private val fleet: FleetView,
    private val candidates: CandidateSelector,
    private val incarnations: IncarnationCache,
    private val claims: ClaimService,
    private val invokeStage: InvokeStage,
    private val outcomeResolver: ClaimOutcomeResolver,
    private val retries: RetryPolicy,
) {
    suspend fun run(
        job: ServiceJob,
        observer: RequestObserver,
    ): Outcome {
        val progress = Progress(observer)
        return withTimeoutOrNull(job.remainingMs().milliseconds) { runAttempts(job, progress) } ?: timeoutOutcome(job, progress)
    }

    /** Tracks whether the call may have run, in which case a timeout must not be reported as "not run". */
    private class Progress(
        val observer: RequestObserver,
    ) {
        var mayHaveRun = false
    }

    private suspend fun runAttempts(
        job: ServiceJob,
        progress: Progress,
    ): Outcome {
        val requestRetries = retries.requestStarted()
        var number = 1
        while (true) {
            val error = runAttempt(job, number, progress).fold({ it }, { return it })
            when (error) {
                is AttemptError.Terminal -> return error.outcome
                is AttemptError.Retryable -> requestRetries.await(error, progress.observer::retried)?.let { return it }
            }
            number++
        }
    }

    private suspend fun runAttempt(
        job: ServiceJob,
        number: Int,
        progress: Progress,
    ): Either<AttemptError, Outcome> {
        val members = candidates.forService(fleet.current().servicesFor(job.service), job)
        val member = members.firstOrNull() ?: return notRun(Refusal(RefusalReason.NO_ENDPOINT, retryAfterMs = RETRY_AFTER_MS))
        progress.observer.recordDecision(TraceStage.PLACE, "chosen", "", "endpoint" to member.endpoint.value, "candidates" to members.size)
        if (job.key == null) {
            progress.mayHaveRun = true
            return invokeStage.invoke(request(job, number, member, claim = null), member).mapLeft { it.toAttemptError() }
        }
        return claimAndDispatch(job, job.key, number, member, progress)
    }

    private suspend fun claimAndDispatch(
        job: ServiceJob,
        key: IdempotencyKey,
        number: Int,
        member: FleetMember,
        progress: Progress,
    ): Either<AttemptError, Outcome> {
        val incarnation =
            incarnations
                .incarnationOf(member.address)
                .fold({ return invokeStage.unreachable(member, it.message) }, { it })
        val decision = claims.claim(ClaimRequest(key, job.requestId, job.scope, member.endpoint, incarnation, number, job.remainingMs()))
        progress.observer.recordDecision(TraceStage.CLAIM, decision.toString(), "", "endpoint" to member.endpoint.value)
        return when (decision) {
            is ClaimDecision.NotClaimed -> notRun(decision.refusal)
            is ClaimDecision.Undecidable -> Outcome.Unknown(decision.reason, decision.detail).right()
            is ClaimDecision.HeldBy -> resolveClaim(job, decision.claim, decision.endpoint, progress)
            is ClaimDecision.Won -> dispatch(job, number, member, decision.claim, progress)
        }
    }

    private suspend fun dispatch(
        job: ServiceJob,
        number: Int,
        member: FleetMember,
        claim: ClaimRef,
        progress: Progress,
    ): Either<AttemptError, Outcome> {
        progress.mayHaveRun = true
        val error = invokeStage.invoke(request(job, number, member, claim), member).fold({ it }, { return it.right() })
        progress.observer.recordDecision(TraceStage.INVOKE, error.toString())
        if (error is InvokeError.NotDispatched) {
            incarnations.invalidate(member.address)
            val voided = claims.abandon(claim)
            progress.mayHaveRun = !voided
            if (voided) return error.toAttemptError().left()
            return Outcome.Unknown(UnknownReason.CLAIM_UNSETTLED, "the claim could not be voided").right()
        }
        return resolveClaim(job, claim, member.endpoint, progress)
    }

    private suspend fun resolveClaim(
        job: ServiceJob,
        claim: ClaimRef,
        endpoint: EndpointId,
        progress: Progress,
    ): Either<AttemptError, Outcome> {
        progress.mayHaveRun = true
        val address = fleet.addressOf(endpoint)
        if (address == null) {
            return Outcome.Unknown(UnknownReason.SIDECAR_LOST, "the sidecar of ${endpoint.value} is no longer listed").right()
        }
        // The resolver returns an error only once the claim is void, so nothing ran under it.
        return outcomeResolver.resolve(address, endpoint, claim, job).onLeft { progress.mayHaveRun = false }
    }

    private fun request(
        job: ServiceJob,
        number: Int,
        member: FleetMember,
        claim: ClaimRef?,
    ) = Invoke(
        requestId = job.requestId,
        attempt = number,
        endpoint = member.endpoint,
        organisation = job.organisation,
        service = job.service,
        operation = job.operation,
        rank = job.rank,
        body = job.body,
        deadlineMs = job.remainingMs(),
        claim = claim,
    )

    private fun InvokeError.toAttemptError(): AttemptError =
        when (this) {
            is InvokeError.NotDispatched -> AttemptError.retryableRefusal(RetryReason.REFUSED_BY_SIDECAR, refusal)
            is InvokeError.MaybeDispatched -> AttemptError.retryableFailure(RetryReason.SERVICE_UNREACHABLE, reason, detail)
        }

    private fun notRun(refusal: Refusal) = AttemptError.Terminal(Outcome.NotRun(refusal)).left()

    private fun timeoutOutcome(
        job: ServiceJob,
        progress: Progress,
    ): Outcome {
        if (!progress.mayHaveRun) return Outcome.NotRun(Refusal(RefusalReason.DEADLINE))
        if (job.key == null) return Outcome.Failed(FailureReason.DEADLINE, "the deadline passed before the service answered")
        return Outcome.Unknown(UnknownReason.DEADLINE, "the deadline passed before the service answered")
    }

    private companion object {
        const val RETRY_AFTER_MS = 2_000L
    }
}
