package io.knapweedferry.sidecar.server

import arrow.core.Either
import io.knapweedferry.api.KvHandle
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.api.message.Prefill
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.engine.PrefillOrder
import io.knapweedferry.platform.engine.PrefillResult
import io.knapweedferry.policy.admission.Ticket
import io.knapweedferry.policy.admission.TicketId
import io.knapweedferry.session.ReplySink
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicLong

/** Prefill capacity of one engine. */
internal class PrefillDesk(
    private val definition: EndpointDefinition.OfEngine,
    private val context: SidecarContext,
    private val state: EndpointState,
    private val reaper: EngineReaper,
    gates: GateFactory,
) {
    val gate = GateKeeper(definition.id, gates.create(definition.prefillLimits), context)
    private val works = WorkTable(context)
    private val ids = EngineRequestIds(context.settings.incarnation)
    private val nextTicket = AtomicLong()

    fun newWork(request: Prefill) = PrefillWork(WorkKey(request.organisation, request.requestId, request.attempt)) { reaper.releaseKv(it) }

    /** Registers work; returns the refusal if it cannot start. */
    fun enter(work: PrefillWork): Refusal? {
        works.add(work)?.let { return it }
        if (state.enter()) return null
        works.remove(work)
        return Refusal(RefusalReason.ENDPOINT_LEAVING)
    }

    fun ticket(request: Prefill): Ticket {
        val pieces = definition.pieces(request.promptTokens.toLong())
        val grantByMs = context.clock.nowMs() + minOf(request.firstTokenDueMs, request.deadlineMs)
        return Ticket(TicketId("p${nextTicket.incrementAndGet()}"), request.organisation, request.rank, pieces, grantByMs)
    }

    /** Runs a granted prefill; null if it was cancelled or nobody wants it any more. Without a result it also ends the work. */
    suspend fun run(
        work: PrefillWork,
        request: Prefill,
        ticket: Ticket,
        timeoutMs: Long,
        sink: ReplySink,
    ): Either<PlatformError, PrefillResult>? {
        val id = ids.prefill(work.key)
        val order = PrefillOrder(id, request.model.value, request.prompt, request.rank.ordinal, timeoutMs)
        var result: Either<PlatformError, PrefillResult>? = null
        try {
            result =
                whileWanted(sink, work.over) {
                    withTimeoutOrNull(timeoutMs) { definition.engine.prefill(order) }
                        ?: Either.Left(PlatformError.NoAnswer("the prefill took longer than $timeoutMs ms"))
                }
        } finally {
            if (result?.isRight() == true) gate.release(ticket.id) else context.scope.launch { abandon(work, ticket) }
        }
        return result
    }

    /** Ends work that holds nothing in the engine. */
    fun leave(work: PrefillWork) {
        works.remove(work)
        state.leave()
    }

    /** Ends work whose cache is exported, once the cache is not needed any more. */
    fun leaveAfterExport(work: PrefillWork) {
        context.scope.launch {
            delay(context.settings.exportKeepMs)
            state.leave()
        }
        works.removeLater(work)
    }

    /** Drops an exported cache. */
    suspend fun drop(handle: KvHandle) = reaper.releaseKv(handle)

    suspend fun cancel(key: WorkKey): Boolean? = works.cancel(key)

    private suspend fun abandon(
        work: PrefillWork,
        ticket: Ticket,
    ) {
        reaper.cancel(ids.prefill(work.key)) { gate.release(ticket.id) }
        work.freed()
        leave(work)
    }
}
