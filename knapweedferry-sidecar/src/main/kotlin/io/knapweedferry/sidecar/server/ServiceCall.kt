package io.knapweedferry.sidecar.server

import arrow.core.Either
import arrow.core.left
import io.knapweedferry.api.AnswerDigest
import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.api.message.Invoke
import io.knapweedferry.api.message.ServiceAnswer
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.service.ServiceRequest
import io.knapweedferry.platform.service.ServiceResult
import io.knapweedferry.session.ReplySink
import kotlinx.coroutines.withTimeoutOrNull

/** Calls the service and records the outcome of the claim. */
internal class ServiceCall(
    private val endpoint: ServiceEndpoint,
    private val claims: ClaimTable,
) {
    /** Runs a submitted call. A call with a claim continues when its caller disconnects, because its outcome must be recorded. */
    suspend fun run(
        attempt: InvokeAttempt,
        request: Invoke,
        timeoutMs: Long,
        sink: ReplySink,
    ): CallOutcome {
        val claim = request.claim
        if (claim == null) {
            val result = runUntilCancelled(sink, attempt.cancellation) { call(request, timeoutMs) }
            return result?.let { outcome(request, it) } ?: CallOutcome.Failed(FailureReason.CANCELLED, "cancelled by the caller")
        }
        val outcome = outcome(request, call(request, timeoutMs))
        when (outcome) {
            is CallOutcome.Answered -> claims.recordAnswer(claim, outcome.answer)
            is CallOutcome.Failed -> claims.recordUnknownOutcome(claim)
            is CallOutcome.NotSent -> claims.recordNotSent(claim)
        }
        return outcome
    }

    private suspend fun call(
        request: Invoke,
        timeoutMs: Long,
    ) = withTimeoutOrNull(timeoutMs) {
        val serviceRequest =
            ServiceRequest(
                requestId = request.requestId.value,
                service = request.service.value,
                operation = request.operation.value,
                body = request.body,
                idempotencyKey = request.claim?.key?.value,
                timeoutMs = timeoutMs,
            )
        mapExceptions { endpoint.definition.service.call(serviceRequest) }
    } ?: PlatformError.NoResponse("the service did not answer within $timeoutMs ms").left()

    private fun outcome(
        request: Invoke,
        result: Either<PlatformError, ServiceResult>,
    ): CallOutcome =
        result.fold({ failure(it) }) {
            val digest = AnswerDigest.of(it.body)
            CallOutcome.Answered(ServiceAnswer(request.requestId, request.attempt, it.status, it.contentType, it.body, digest))
        }

    private fun failure(error: PlatformError): CallOutcome =
        when (error) {
            is PlatformError.NotSent -> CallOutcome.NotSent(Refusal(RefusalReason.ENDPOINT_UNAVAILABLE, error.message))
            is PlatformError.NoResponse -> CallOutcome.Failed(FailureReason.SERVICE_SILENT, error.message)
            is PlatformError.Rejected, is PlatformError.InvalidResponse -> CallOutcome.Failed(FailureReason.SERVICE_FAILED, error.message)
        }
}
