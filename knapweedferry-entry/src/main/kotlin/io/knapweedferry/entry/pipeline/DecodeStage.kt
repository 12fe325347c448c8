package io.knapweedferry.entry.pipeline

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.KvSource
import io.knapweedferry.api.LeaseId
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.api.RetryReason
import io.knapweedferry.api.message.AnswerEnd
import io.knapweedferry.api.message.Attach
import io.knapweedferry.api.message.AttemptFailed
import io.knapweedferry.api.message.Decode
import io.knapweedferry.api.message.DecodeStarted
import io.knapweedferry.api.message.Message
import io.knapweedferry.api.message.Refused
import io.knapweedferry.api.message.Tokens
import io.knapweedferry.entry.fleet.EndpointLoadTracker
import io.knapweedferry.entry.fleet.FleetMember
import io.knapweedferry.session.Exchange
import io.knapweedferry.session.SessionClient
import io.knapweedferry.session.SessionError
import io.knapweedferry.telemetry.TraceStage

/** Decodes on the reserved endpoint and delivers the tokens; re-attaches to the stream on a new session if a session is lost. */
internal class DecodeStage(
    private val loads: EndpointLoadTracker,
    private val sessions: SessionClient,
) {
    suspend fun decode(
        attempt: ModelAttempt,
        placement: Placement,
        source: KvSource?,
    ): Either<AttemptError, AnswerEnd> {
        val member = placement.member
        attempt.involvedMembers += member
        attempt.assembler.beginStream(attempt.number)
        val submittedBefore = attempt.maybeSubmitted
        attempt.maybeSubmitted = true
        loads.requestStarted(member.endpoint)
        try {
            val first = placement.attach ?: request(attempt, member, checkNotNull(placement.lease), source)
            return decodeAcrossSessions(attempt, member, first)
                .onLeft { trace(attempt, member, "ended early", it.toString()) }
                .onLeft { if (it.provesNoSubmission()) attempt.maybeSubmitted = submittedBefore }
                .mapLeft { it.toAttemptError() }
                .onRight { loads.recordLoad(it.load) }
                .onRight { trace(attempt, member, "whole", "${it.tokenCount} tokens, digest ${it.digest}") }
        } finally {
            loads.requestEnded(member.endpoint)
        }
    }

    private suspend fun decodeAcrossSessions(
        attempt: ModelAttempt,
        member: FleetMember,
        first: Message,
    ): Either<StreamError, AnswerEnd> {
        var request = first
        repeat(MAX_SESSIONS_PER_ATTEMPT) {
            val result = decodeOnSession(attempt, member, request)
            val lost = (result.leftOrNull() as? StreamError.Lost) ?: return result
            if (lost.neverSent && request is Decode) return result
            attempt.assembler.beginStream(attempt.number)
            request = Attach(attempt.job.requestId, attempt.job.organisation, member.endpoint, attempt.assembler.position)
        }
        loads.avoid(member.endpoint)
        return StreamError.Lost("the session to the sidecar was lost and could not be re-established", neverSent = false).left()
    }

    private suspend fun decodeOnSession(
        attempt: ModelAttempt,
        member: FleetMember,
        request: Message,
    ): Either<StreamError, AnswerEnd> =
        sessions.open(member.address, request).fold(
            { lost(it) },
            { exchange -> exchange.use { receiveUntilEnd(attempt, member, it) } },
        )

    private suspend fun receiveUntilEnd(
        attempt: ModelAttempt,
        member: FleetMember,
        exchange: Exchange,
    ): Either<StreamError, AnswerEnd> {
        while (true) {
            val message =
                exchange.receive().fold({ return lost(it) }, { it })
                    ?: return StreamError.Lost("the sidecar closed the exchange before the end of the answer").left()
            handleMessage(message, attempt, member)?.let { return it }
        }
    }

    /** Processes [message]; returns the result if it ends the stream, else null. */
    private fun handleMessage(
        message: Message,
        attempt: ModelAttempt,
        member: FleetMember,
    ): Either<StreamError, AnswerEnd>? =
        when (message) {
            is Tokens -> deliver(attempt, member, message)?.left()
            is AnswerEnd -> verify(attempt, message)
            is AttemptFailed -> StreamError.Failed(message.reason, message.detail).left().also { loads.recordLoad(message.load) }
            is Refused -> refused(message, member)
            is DecodeStarted -> {
                trace(attempt, member, "started", "cache moved in ${message.transferMs} ms")
                null
            }
            else -> StreamError.Failed(FailureReason.ENGINE_FAILED, "the sidecar sent a reply of an unexpected type").left()
        }

    private fun refused(
        message: Refused,
        member: FleetMember,
    ): Either<StreamError, AnswerEnd> {
        if (message.refusal.reason == RefusalReason.ENDPOINT_LEAVING) loads.avoid(member.endpoint)
        return StreamError.Refused(message.refusal).left()
    }

    private fun trace(
        attempt: ModelAttempt,
        member: FleetMember,
        decision: String,
        reason: String,
    ) {
        attempt.observer.recordDecision(
            TraceStage.DECODE,
            decision,
            reason,
            "endpoint" to member.endpoint.value,
            "attempt" to attempt.number,
        )
    }

    private fun deliver(
        attempt: ModelAttempt,
        member: FleetMember,
        frame: Tokens,
    ): StreamError? {
        val position = attempt.assembler.position
        val texts =
            attempt.assembler.accept(frame)
                ?: return StreamError.Failed(FailureReason.INCOMPLETE_ANSWER, "tokens are missing at position $position")
        if (texts.isNotEmpty()) attempt.sink.tokens(attempt.number, member.endpoint.value, position, texts)
        return null
    }

    private fun verify(
        attempt: ModelAttempt,
        end: AnswerEnd,
    ): Either<StreamError, AnswerEnd> {
        if (attempt.assembler.isVerifiedBy(end)) return end.right()
        return StreamError
            .Failed(
                FailureReason.INCOMPLETE_ANSWER,
                "token count or digest does not match at position ${attempt.assembler.position}",
            ).left()
    }

    private fun lost(error: SessionError): Either<StreamError, AnswerEnd> =
        StreamError.Lost(error.message, neverSent = error !is SessionError.Lost).left()

    private fun request(
        attempt: ModelAttempt,
        member: FleetMember,
        lease: LeaseId,
        source: KvSource?,
    ) = Decode(
        requestId = attempt.job.requestId,
        attempt = attempt.number,
        endpoint = member.endpoint,
        organisation = attempt.job.organisation,
        model = attempt.job.model,
        rank = attempt.job.rank,
        lease = lease,
        prompt = attempt.job.prompt,
        promptTokens = attempt.job.promptTokens,
        maxOutputTokens = attempt.job.maxOutputTokens,
        source = source,
        fromPosition = attempt.assembler.position,
        deadlineMs = attempt.job.remainingMs(),
    )

    private fun StreamError.toAttemptError(): AttemptError =
        when (this) {
            is StreamError.Refused -> AttemptError.retryableRefusal(RetryReason.LEASE_LOST, refusal)
            is StreamError.Lost -> sessionLostError(this)
            is StreamError.Failed -> AttemptError.retryableFailure(retryReasonOf(reason), reason, detail)
        }

    /** A request that was never sent counts as refused; once it was sent, the engine may have run it. */
    private fun sessionLostError(error: StreamError.Lost): AttemptError {
        if (!error.neverSent) return AttemptError.retryableFailure(RetryReason.SESSION_LOST, FailureReason.SESSION_LOST, error.detail)
        return AttemptError.retryableRefusal(RetryReason.LEASE_LOST, Refusal(RefusalReason.ENDPOINT_UNAVAILABLE, error.detail))
    }

    private fun StreamError.provesNoSubmission(): Boolean = this is StreamError.Refused || (this is StreamError.Lost && neverSent)

    private fun retryReasonOf(reason: FailureReason): RetryReason =
        if (reason == FailureReason.TRANSFER_FAILED) RetryReason.TRANSFER_FAILED else RetryReason.DECODE_FAILED

    private companion object {
        /** The first session and two reconnects; after that the sidecar counts as lost. */
        const val MAX_SESSIONS_PER_ATTEMPT = 3
    }
}
