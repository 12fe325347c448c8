package io.knapweedferry.sidecar.server

import arrow.core.Either
import io.knapweedferry.api.KvHandle
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.api.message.Prefill
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.engine.PrefillRequest
import io.knapweedferry.platform.engine.PrefillResult
import io.knapweedferry.policy.admission.Ticket
import io.knapweedferry.policy.admission.TicketId
import io.knapweedferry.session.ReplySink
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicLong

/** Schedules the prefill capacity of one engine. */
internal class PrefillScheduler(
    private val definition: EndpointDefinition.OfEngine,
    private val context: SidecarContext,
    private val state: EndpointState,
    private val cleanup: EngineCleanup,
    gates: GateFactory,
) {
    val gate = AdmissionController(definition.id, gates.create(definition.prefillLimits), context)
    private val attempts = AttemptTable(context)
    private val ids = EngineRequestIds(context.settings.incarnation)
    private val nextTicket = AtomicLong()

    fun newAttempt(request: Prefill) =
        PrefillAttempt(AttemptKey(request.organisation, request.requestId, request.attempt)) {
            cleanup.releaseKv(it)
        }

    /** Registers an attempt; returns the refusal if it must not start. */
    fun register(attempt: PrefillAttempt): Refusal? {
        attempts.add(attempt)?.let { return it }
        if (state.tryBegin()) return null
        attempts.remove(attempt)
        return Refusal(RefusalReason.ENDPOINT_LEAVING)
    }

    fun ticket(request: Prefill): Ticket {
        val kvBlocks = definition.kvBlocks(request.promptTokens.toLong())
        val grantDeadlineMs = context.clock.nowMs() + minOf(request.firstTokenDueMs, request.deadlineMs)
        return Ticket(TicketId("p${nextTicket.incrementAndGet()}"), request.organisation, request.rank, kvBlocks, grantDeadlineMs)
    }

    /** Runs an admitted prefill; null if it was cancelled or the caller disconnected. Unless it succeeds, the attempt is finished. */
    suspend fun run(
        attempt: PrefillAttempt,
        request: Prefill,
        ticket: Ticket,
        timeoutMs: Long,
        sink: ReplySink,
    ): Either<PlatformError, PrefillResult>? {
        val id = ids.prefill(attempt.key)
        val prefillRequest = PrefillRequest(id, request.model.value, request.prompt, request.rank.ordinal, timeoutMs)
        var result: Either<PlatformError, PrefillResult>? = null
        try {
            result =
                runUntilCancelled(sink, attempt.cancellation) {
                    withTimeoutOrNull(timeoutMs) { definition.engine.prefill(prefillRequest) }
                        ?: Either.Left(PlatformError.NoResponse("the prefill took longer than $timeoutMs ms"))
                }
        } finally {
            if (result?.isRight() == true) gate.release(ticket.id) else context.scope.launch { cancelInEngine(attempt, ticket) }
        }
        return result
    }

    /** Finishes an attempt that holds nothing in the engine. */
    fun finish(attempt: PrefillAttempt) {
        attempts.remove(attempt)
        state.end()
    }

    /** Finishes an attempt with an exported KV cache once the retention time of the export has passed. */
    fun finishAfterExport(attempt: PrefillAttempt) {
        context.scope.launch {
            delay(context.settings.exportRetentionMs)
            state.end()
        }
        attempts.removeLater(attempt)
    }

    suspend fun releaseKv(handle: KvHandle) = cleanup.releaseKv(handle)

    suspend fun cancel(key: AttemptKey): Boolean? = attempts.cancel(key)

    private suspend fun cancelInEngine(
        attempt: PrefillAttempt,
        ticket: Ticket,
    ) {
        cleanup.cancel(ids.prefill(attempt.key)) { gate.release(ticket.id) }
        attempt.markEngineFreed()
        finish(attempt)
    }
}
