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
import io.knapweedferry.entry.fleet.FleetMember
import io.knapweedferry.entry.fleet.LoadBoard
import io.knapweedferry.session.Exchange
import io.knapweedferry.session.SessionClient
import io.knapweedferry.session.SessionError
import io.knapweedferry.telemetry.TraceStage

/** Uses the lease, delivers the tokens, and takes the stream up again on a new session when the old one is lost. */
internal class DecodeStage(
    private val loads: LoadBoard,
    private val sessions: SessionClient,
) {
    suspend fun decode(
        attempt: ModelAttempt,
        placement: Placement,
        source: KvSource?,
    ): Either<AttemptEnd, AnswerEnd> {
        val member = placement.member
        attempt.touched += member
        attempt.assembler.begin(attempt.number)
        val submittedBefore = attempt.submitted
        attempt.submitted = true
        loads.started(member.endpoint)
        try {
            val first = placement.attach ?: request(attempt, member, checkNotNull(placement.lease), source)
            return follow(attempt, member, first)
                .onLeft { trace(attempt, member, "ended early", it.toString()) }
                .onLeft { if (it.neverSubmitted()) attempt.submitted = submittedBefore }
                .mapLeft { it.toAttemptEnd() }
                .onRight { loads.heard(it.load) }
                .onRight { trace(attempt, member, "whole", "${it.tokenCount} tokens, digest ${it.digest}") }
        } finally {
            loads.ended(member.endpoint)
        }
    }

    private suspend fun follow(
        attempt: ModelAttempt,
        member: FleetMember,
        first: Message,
    ): Either<StreamEnd, AnswerEnd> {
        var request = first
        repeat(MAX_SESSIONS) {
            val result = stream(attempt, member, request)
            val lost = (result.leftOrNull() as? StreamEnd.Lost) ?: return result
            if (lost.neverSent && request is Decode) return result
            attempt.assembler.begin(attempt.number)
            request = Attach(attempt.job.requestId, attempt.job.organisation, member.endpoint, attempt.assembler.position)
        }
        loads.avoid(member.endpoint)
        return StreamEnd.Lost("the sidecar could not be reached again", neverSent = false).left()
    }

    private suspend fun stream(
        attempt: ModelAttempt,
        member: FleetMember,
        request: Message,
    ): Either<StreamEnd, AnswerEnd> =
        sessions.open(member.address, request).fold(
            { lost(it) },
            { exchange -> exchange.use { receiveAll(attempt, member, it) } },
        )

    private suspend fun receiveAll(
        attempt: ModelAttempt,
        member: FleetMember,
        exchange: Exchange,
    ): Either<StreamEnd, AnswerEnd> {
        while (true) {
            val message = exchange.receive().fold({ return lost(it) }, { it }) ?: return StreamEnd.Lost("exchange ended early").left()
            endBy(message, attempt, member)?.let { return it }
        }
    }

    /** How [message] ends the stream, or null if it goes on. */
    private fun endBy(
        message: Message,
        attempt: ModelAttempt,
        member: FleetMember,
    ): Either<StreamEnd, AnswerEnd>? =
        when (message) {
            is Tokens -> deliver(attempt, member, message)?.left()
            is AnswerEnd -> prove(attempt, message)
            is AttemptFailed -> StreamEnd.Failed(message.reason, message.detail).left().also { loads.heard(message.load) }
            is Refused -> StreamEnd.Refused(message.refusal).left()
            is DecodeStarted -> {
                trace(attempt, member, "started", "cache moved in ${message.transferMs} ms")
                null
            }
            else -> StreamEnd.Failed(FailureReason.ENGINE_FAILED, "unexpected reply").left()
        }

    private fun trace(
        attempt: ModelAttempt,
        member: FleetMember,
        decision: String,
        reason: String,
    ) {
        attempt.observer.decided(TraceStage.DECODE, decision, reason, "endpoint" to member.endpoint.value, "attempt" to attempt.number)
    }

    private fun deliver(
        attempt: ModelAttempt,
        member: FleetMember,
        frame: Tokens,
    ): StreamEnd? {
        val position = attempt.assembler.position
        val texts = attempt.assembler.accept(frame) ?: return StreamEnd.Failed(FailureReason.INCOMPLETE_ANSWER, "gap at $position")
        if (texts.isNotEmpty()) attempt.sink.tokens(attempt.number, member.endpoint.value, position, texts)
        return null
    }

    private fun prove(
        attempt: ModelAttempt,
        end: AnswerEnd,
    ): Either<StreamEnd, AnswerEnd> {
        if (attempt.assembler.isProvedBy(end)) return end.right()
        return StreamEnd.Failed(FailureReason.INCOMPLETE_ANSWER, "count or digest differs at ${attempt.assembler.position}").left()
    }

    private fun lost(error: SessionError): Either<StreamEnd, AnswerEnd> =
        StreamEnd.Lost(error.message, neverSent = error !is SessionError.Lost).left()

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
        deadlineMs = attempt.job.deadlineMs(),
    )

    private fun StreamEnd.toAttemptEnd(): AttemptEnd =
        when (this) {
            is StreamEnd.Refused -> AttemptEnd.retryRefused(RetryReason.LEASE_LOST, refusal)
            is StreamEnd.Lost -> lostEnd(this)
            is StreamEnd.Failed -> AttemptEnd.retryFailed(retryReasonOf(reason), reason, detail)
        }

    /** A request that never left this process is a refusal; after that the engine may have worked on it. */
    private fun lostEnd(end: StreamEnd.Lost): AttemptEnd {
        if (!end.neverSent) return AttemptEnd.retryFailed(RetryReason.SESSION_LOST, FailureReason.SESSION_LOST, end.detail)
        return AttemptEnd.retryRefused(RetryReason.LEASE_LOST, Refusal(RefusalReason.ENDPOINT_UNAVAILABLE, end.detail))
    }

    private fun StreamEnd.neverSubmitted(): Boolean = this is StreamEnd.Refused || (this is StreamEnd.Lost && neverSent)

    private fun retryReasonOf(reason: FailureReason): RetryReason =
        if (reason == FailureReason.TRANSFER_FAILED) RetryReason.TRANSFER_FAILED else RetryReason.DECODE_FAILED

    private companion object {
        /** The first session and two replacements; after that the sidecar counts as lost. */
        const val MAX_SESSIONS = 3
    }
}
