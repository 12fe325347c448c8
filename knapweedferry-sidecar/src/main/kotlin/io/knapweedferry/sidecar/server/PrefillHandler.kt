package io.knapweedferry.sidecar.server

import arrow.core.Either
import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.message.Prefill
import io.knapweedferry.api.message.Prefilled
import io.knapweedferry.config.state.EndpointRole
import io.knapweedferry.platform.engine.PrefillResult
import io.knapweedferry.session.ReplySink

/** Computes KV caches, a few at a time. */
internal class PrefillHandler(
    private val context: SidecarContext,
    private val access: EndpointAccess,
    private val replies: Replies,
) {
    suspend fun handle(
        endpoint: EngineEndpoint,
        request: Prefill,
        sink: ReplySink,
    ) {
        val desk = endpoint.prefill
        access.forModel(endpoint, request.model, ROLES)?.let { return replies.refuse(sink, it, desk.gate.load()) }
        val work = desk.newWork(request)
        desk.enter(work)?.let { return replies.refuse(sink, it, desk.gate.load()) }
        val ticket = desk.ticket(request)
        val startedAtMs = context.clock.nowMs()
        val decision = whileWanted(sink, work.over) { desk.gate.admit(ticket) }
        if (decision is Either.Left) {
            desk.leave(work)
            return replies.refuse(sink, decision.value, desk.gate.load())
        }
        if (decision == null || !work.submit()) {
            desk.gate.release(ticket.id)
            desk.leave(work)
            replies.fail(sink, work.key, FailureReason.CANCELLED, "cancelled before submission", desk.gate.load())
            return
        }
        val queuedMs = context.clock.nowMs() - startedAtMs
        val result = desk.run(work, request, ticket, request.deadlineMs - queuedMs, sink)
        val prefillMs = context.clock.nowMs() - startedAtMs - queuedMs
        if (result is Either.Right) return export(desk, work, result.value, Times(queuedMs, prefillMs), sink)
        val error = (result as? Either.Left)?.value
        val reason = if (error == null) FailureReason.CANCELLED else FailureReason.PREFILL_FAILED
        replies.fail(sink, work.key, reason, error?.message ?: "cancelled by its caller", desk.gate.load())
    }

    private suspend fun export(
        desk: PrefillDesk,
        work: PrefillWork,
        result: PrefillResult,
        times: Times,
        sink: ReplySink,
    ) {
        val kept = work.export(result.source.handle)
        desk.leaveAfterExport(work)
        if (!kept) {
            desk.drop(result.source.handle)
            work.freed()
            replies.fail(sink, work.key, FailureReason.CANCELLED, "cancelled by its caller", desk.gate.load())
            return
        }
        val reply = Prefilled(result.source, result.cachedTokens, times.queuedMs, times.prefillMs, desk.gate.load())
        if (!sink.send(reply)) work.cancel()
    }

    private data class Times(
        val queuedMs: Long,
        val prefillMs: Long,
    )

    private companion object {
        val ROLES = setOf(EndpointRole.PREFILL, EndpointRole.MIXED)
    }
}
