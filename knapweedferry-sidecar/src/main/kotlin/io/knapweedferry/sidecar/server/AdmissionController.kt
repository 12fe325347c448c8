package io.knapweedferry.sidecar.server

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.LoadSummary
import io.knapweedferry.api.Refusal
import io.knapweedferry.policy.admission.AdmissionGate
import io.knapweedferry.policy.admission.GateDecisions
import io.knapweedferry.policy.admission.GateLimits
import io.knapweedferry.policy.admission.RankedGateSettings
import io.knapweedferry.policy.admission.Ticket
import io.knapweedferry.policy.admission.TicketId
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/** Makes an admission gate thread-safe: callers suspend until it decides, and queued tickets expire at their deadline. */
internal class AdmissionController(
    private val endpoint: EndpointId,
    private val gate: AdmissionGate,
    context: SidecarContext,
    /** Called outside the lock for each granted ticket that must release its capacity. */
    private val onPreempted: (TicketId) -> Unit = {},
) {
    private val clock = context.clock
    private val lock = Any()
    private val waiting = HashMap<TicketId, CompletableDeferred<Either<Refusal, Unit>>>()
    private val grantedAtMs = HashMap<TicketId, Long>()
    private val deadlineChanged = Channel<Unit>(Channel.CONFLATED)

    init {
        context.scope.launch { expireLoop() }
    }

    /** Suspends until [ticket] is granted or refused; cancelling the caller releases the ticket. */
    suspend fun admit(ticket: Ticket): Either<Refusal, Unit> {
        val decision = CompletableDeferred<Either<Refusal, Unit>>()
        applyDecisions {
            waiting[ticket.id] = decision
            gate.submit(ticket, clock.nowMs())
        }
        try {
            return decision.await()
        } catch (cancelled: CancellationException) {
            release(ticket.id)
            throw cancelled
        }
    }

    /** Releases a queued or granted ticket; no effect if it has ended. */
    fun release(id: TicketId) =
        applyDecisions {
            waiting.remove(id)
            val now = clock.nowMs()
            grantedAtMs.remove(id)?.let { gate.observeServiceMs((now - it).toDouble()) }
            gate.release(id, now)
        }

    /** Applies the limits and rank settings of a new configuration. */
    fun update(
        limits: GateLimits,
        settings: RankedGateSettings,
    ) = applyDecisions { gate.update(limits, settings, clock.nowMs()) }

    /** Refuses all queued tickets; granted tickets keep their capacity. */
    fun refuseQueued(refusal: Refusal) {
        val refused =
            synchronized(lock) {
                val all = waiting.toMap()
                waiting.clear()
                all
            }
        refused.values.forEach { it.complete(refusal.left()) }
        refused.keys.forEach(::release)
    }

    fun observeInterTokenMs(interTokenMs: Double) = synchronized(lock) { gate.observeInterTokenMs(interTokenMs) }

    fun load(): LoadSummary {
        val load = synchronized(lock) { gate.load(clock.nowMs()) }
        return LoadSummary(
            endpoint = endpoint,
            freeSlots = load.freeSlots,
            freeKvBlocks = load.freeKvBlocks,
            queuedUrgent = load.queuedUrgent,
            queuedStandard = load.queuedStandard,
            queuedBackground = load.queuedBackground,
            waitMs = load.waitMs,
            interTokenMs = load.interTokenMs,
        )
    }

    /** Runs [gateCall] under the lock, then completes the tickets it granted or refused and reports those it preempted. */
    private fun applyDecisions(gateCall: () -> GateDecisions) {
        val completions = mutableListOf<Pair<CompletableDeferred<Either<Refusal, Unit>>, Either<Refusal, Unit>>>()
        val preempted =
            synchronized(lock) {
                val decisions = gateCall()
                for (id in decisions.granted) {
                    waiting.remove(id)?.let {
                        completions += it to Unit.right()
                        grantedAtMs[id] = clock.nowMs()
                    }
                }
                for ((id, refusal) in decisions.refused) waiting.remove(id)?.let { completions += it to refusal.left() }
                decisions.preempted
            }
        completions.forEach { (waiter, result) -> waiter.complete(result) }
        preempted.forEach(onPreempted)
        deadlineChanged.trySend(Unit)
    }

    private suspend fun expireLoop() {
        while (true) {
            val nextMs = synchronized(lock) { gate.nextDeadlineMs() }
            if (nextMs == null) {
                deadlineChanged.receive()
                continue
            }
            val remainingMs = nextMs - clock.nowMs()
            val changed = remainingMs > 0 && withTimeoutOrNull(remainingMs) { deadlineChanged.receive() } != null
            if (!changed) applyDecisions { gate.expire(clock.nowMs()) }
        }
    }
}
