package io.knapweedferry.sidecar.server

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.knapweedferry.api.LeaseId
import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.api.RequestId
import io.knapweedferry.api.message.Decode
import io.knapweedferry.api.message.Reserve
import io.knapweedferry.platform.engine.GenerateOrder
import io.knapweedferry.policy.admission.Ticket
import io.knapweedferry.policy.admission.TicketId
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Decode capacity of one engine: who waits for it, who holds a lease and which streams run. */
internal class DecodeDesk(
    private val definition: EndpointDefinition.OfEngine,
    private val context: SidecarContext,
    private val state: EndpointState,
    private val reaper: EngineReaper,
    gates: GateFactory,
) {
    val gate = GateKeeper(definition.id, gates.create(definition.decodeLimits), context, ::preempt)
    private val works = WorkTable(context)
    private val leases = ConcurrentHashMap<LeaseId, DecodeWork>()
    private val ids = EngineRequestIds(context.settings.incarnation)
    private val nextLease = AtomicLong()

    /** Registers a request for capacity; the caller then waits in the gate. */
    fun open(request: Reserve): Either<Refusal, DecodeWork> {
        val lease = LeaseId("${context.settings.incarnation.value}-${nextLease.incrementAndGet()}")
        val ticket =
            Ticket(
                id = TicketId(lease.value),
                organisation = request.organisation,
                rank = request.rank,
                pieces = pieces(request.promptTokens, request.maxOutputTokens),
                grantByMs = context.clock.nowMs() + minOf(request.firstTokenDueMs, request.deadlineMs),
            )
        val key = WorkKey(request.organisation, request.requestId, request.attempt)
        val work = DecodeWork(key, ticket, lease, request.model, ::withdrawn)
        works.add(work)?.let { return it.left() }
        leases[lease] = work
        if (state.enter()) return work.right()
        forget(work)
        return Refusal(RefusalReason.ENDPOINT_LEAVING).left()
    }

    /** Ends the lease of [work] unless it is used in time. */
    fun limitLease(work: DecodeWork) {
        context.scope.launch {
            delay(context.settings.leaseMs)
            if (work.withdraw()) context.counters.leaseLapsed()
        }
    }

    fun find(lease: LeaseId): DecodeWork? = leases[lease]

    /** Newest stream of a request that is running or kept. */
    fun findStream(
        organisation: OrganisationId,
        requestId: RequestId,
    ): DecodeWork? =
        works.all
            .filterIsInstance<DecodeWork>()
            .filter { it.key.organisation == organisation && it.key.requestId == requestId && it.stream != null }
            .maxByOrNull { it.key.attempt }

    fun fits(
        request: Decode,
        work: DecodeWork,
    ): Boolean = pieces(request.promptTokens, request.maxOutputTokens) <= work.ticket.pieces

    /** Starts the stream of work whose lease was just used. */
    fun start(
        work: DecodeWork,
        request: Decode,
    ): DecodeStream {
        val id = ids.decode(work.key)
        val order =
            GenerateOrder(
                id = id,
                model = request.model.value,
                prompt = request.prompt,
                maxOutputTokens = request.maxOutputTokens,
                priority = request.rank.ordinal,
                fromPosition = request.fromPosition,
            )
        val buffer = StreamBuffer(request.fromPosition)
        val runner = StreamRunner(definition.engine, context, order, request.source, buffer, gate::observeInterTokenMs)
        val stream = DecodeStream(context, runner, buffer, state::leave)
        context.scope.launch {
            stream.run(request.deadlineMs) { outcome ->
                if (outcome is StreamOutcome.Whole) gate.release(work.ticket.id) else reaper.cancel(id) { gate.release(work.ticket.id) }
            }
            works.removeLater(work)
            leases.remove(work.lease)
        }
        work.attach(stream)
        return stream
    }

    suspend fun cancel(key: WorkKey): Boolean? = works.cancel(key)

    private fun preempt(ticket: TicketId) {
        val work = leases[LeaseId(ticket.value)] ?: return gate.release(ticket)
        context.scope.launch { work.preempt() }
    }

    private fun withdrawn(work: DecodeWork) {
        gate.release(work.ticket.id)
        works.remove(work)
        state.leave()
        // A late use of the lease is told why it ended.
        context.scope.launch {
            delay(context.settings.graceMs)
            leases.remove(work.lease)
        }
    }

    private fun forget(work: DecodeWork) {
        works.remove(work)
        leases.remove(work.lease)
    }

    private fun pieces(
        promptTokens: Int,
        maxOutputTokens: Int,
    ): Int = definition.pieces(promptTokens.toLong() + maxOutputTokens)
}
