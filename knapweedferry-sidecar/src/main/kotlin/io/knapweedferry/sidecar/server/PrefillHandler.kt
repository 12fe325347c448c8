package io.knapweedferry.sidecar.server

import arrow.core.Either
import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.message.Prefill
import io.knapweedferry.api.message.Prefilled
import io.knapweedferry.config.state.EndpointRole
import io.knapweedferry.platform.engine.PrefillResult
import io.knapweedferry.session.ReplySink

/** Computes the KV cache of a prompt and exports it for transfer to a decode engine. */
internal class PrefillHandler(
    private val context: SidecarContext,
    private val assignmentCheck: AssignmentCheck,
    private val replies: ErrorReplies,
) {
    suspend fun handle(
        endpoint: EngineEndpoint,
        request: Prefill,
        sink: ReplySink,
    ) {
        val scheduler = endpoint.prefill
        assignmentCheck.forModel(endpoint, request.model, ROLES)?.let { return replies.refuse(sink, it, scheduler.gate.load()) }
        val attempt = scheduler.newAttempt(request)
        scheduler.register(attempt)?.let { return replies.refuse(sink, it, scheduler.gate.load()) }
        val ticket = scheduler.ticket(request)
        val startedAtMs = context.clock.nowMs()
        val decision = runUntilCancelled(sink, attempt.cancellation) { scheduler.gate.admit(ticket) }
        if (decision is Either.Left) {
            scheduler.finish(attempt)
            return replies.refuse(sink, decision.value, scheduler.gate.load())
        }
        if (decision == null || !attempt.tryMarkSubmitted()) {
            scheduler.gate.release(ticket.id)
            scheduler.finish(attempt)
            replies.fail(sink, attempt.key, FailureReason.CANCELLED, "cancelled before submission", scheduler.gate.load())
            return
        }
        val queuedMs = context.clock.nowMs() - startedAtMs
        val result = scheduler.run(attempt, request, ticket, request.deadlineMs - queuedMs, sink)
        val prefillMs = context.clock.nowMs() - startedAtMs - queuedMs
        if (result is Either.Right) return replyExported(scheduler, attempt, result.value, Timings(queuedMs, prefillMs), sink)
        val error = (result as? Either.Left)?.value
        val reason = if (error == null) FailureReason.CANCELLED else FailureReason.PREFILL_FAILED
        replies.fail(sink, attempt.key, reason, error?.message ?: "cancelled by the caller", scheduler.gate.load())
    }

    private suspend fun replyExported(
        scheduler: PrefillScheduler,
        attempt: PrefillAttempt,
        result: PrefillResult,
        timings: Timings,
        sink: ReplySink,
    ) {
        val exported = attempt.tryRecordExport(result.source.handle)
        scheduler.finishAfterExport(attempt)
        if (!exported) {
            scheduler.releaseKv(result.source.handle)
            attempt.markEngineFreed()
            replies.fail(sink, attempt.key, FailureReason.CANCELLED, "cancelled by the caller", scheduler.gate.load())
            return
        }
        val reply = Prefilled(result.source, result.cachedTokens, timings.queuedMs, timings.prefillMs, scheduler.gate.load())
        if (!sink.send(reply)) attempt.cancel()
    }

    private data class Timings(
        val queuedMs: Long,
        val prefillMs: Long,
    )

    private companion object {
        val ROLES = setOf(EndpointRole.PREFILL, EndpointRole.MIXED)
    }
}
