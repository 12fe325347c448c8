package io.knapweedferry.entry.pipeline

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.knapweedferry.api.Answer
import io.knapweedferry.api.AnswerDigest
import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.Outcome
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.api.RetryReason
import io.knapweedferry.api.message.AttemptFailed
import io.knapweedferry.api.message.Invoke
import io.knapweedferry.api.message.Refused
import io.knapweedferry.api.message.ServiceAnswer
import io.knapweedferry.entry.fleet.EndpointLoadTracker
import io.knapweedferry.entry.fleet.FleetMember
import io.knapweedferry.entry.fleet.call
import io.knapweedferry.session.SessionClient
import io.knapweedferry.session.SessionError

/** Sends a call to the sidecar of a service; errors tell whether the call may have been dispatched to the service. */
internal class InvokeStage(
    private val loads: EndpointLoadTracker,
    private val sessions: SessionClient,
) {
    suspend fun invoke(
        request: Invoke,
        member: FleetMember,
    ): Either<InvokeError, Outcome> {
        loads.requestStarted(member.endpoint)
        val reply =
            try {
                sessions.call(member.address, request)
            } finally {
                loads.requestEnded(member.endpoint)
            }
        return reply.fold({ notAnswered(it, member) }, { message ->
            when (message) {
                is ServiceAnswer -> completed(message, request)
                is Refused -> refused(message, member, request)
                is AttemptFailed -> InvokeError.MaybeDispatched(message.reason, message.detail).left()
                else -> InvokeError.MaybeDispatched(FailureReason.SERVICE_FAILED, "the sidecar sent a reply of an unexpected type").left()
            }
        })
    }

    /** Error for a call that was not dispatched because [member] did not answer; new calls avoid [member] for a while. */
    fun unreachable(
        member: FleetMember,
        detail: String,
    ): Either<AttemptError, Nothing> {
        loads.avoid(member.endpoint)
        return AttemptError
            .retryableRefusal(RetryReason.SERVICE_UNREACHABLE, Refusal(RefusalReason.ENDPOINT_UNAVAILABLE, detail))
            .left()
    }

    private fun notAnswered(
        error: SessionError,
        member: FleetMember,
    ): Either<InvokeError, Outcome> {
        loads.avoid(member.endpoint)
        if (error is SessionError.Lost) return InvokeError.MaybeDispatched(FailureReason.SESSION_LOST, error.message).left()
        return InvokeError.NotDispatched(Refusal(RefusalReason.ENDPOINT_UNAVAILABLE, error.message)).left()
    }

    private fun refused(
        refused: Refused,
        member: FleetMember,
        request: Invoke,
    ): Either<InvokeError, Outcome> {
        loads.recordLoad(refused.load)
        // Without a claim, the sidecar may be running the same request for another connection of the caller.
        if (refused.refusal.reason == RefusalReason.DUPLICATE_IN_PROGRESS && request.claim == null) {
            return InvokeError.MaybeDispatched(FailureReason.SERVICE_FAILED, refused.refusal.message).left()
        }
        loads.avoid(member.endpoint)
        return InvokeError.NotDispatched(refused.refusal).left()
    }

    private fun completed(
        answer: ServiceAnswer,
        request: Invoke,
    ): Either<InvokeError, Outcome> {
        loads.recordLoad(answer.load)
        val isVerified = answer.requestId == request.requestId && answer.digest == AnswerDigest.of(answer.body)
        if (!isVerified) {
            return InvokeError
                .MaybeDispatched(
                    FailureReason.INCOMPLETE_ANSWER,
                    "request id or digest of the answer does not match",
                ).left()
        }
        return Outcome.Completed(Answer.ServiceReply(answer.status, answer.contentType, answer.body)).right()
    }
}
