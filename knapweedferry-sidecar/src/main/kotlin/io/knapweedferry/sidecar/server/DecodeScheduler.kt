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
import io.knapweedferry.platform.engine.GenerateRequest
import io.knapweedferry.policy.admission.Ticket
import io.knapweedferry.policy.admission.TicketId
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Schedules the decode capacity of one engine: queues requests, grants leases and runs streams. */
internal class DecodeScheduler(
    private val definition: EndpointDefinition.OfEngine,
    private val context: SidecarContext,
    private val state: EndpointState,
    private val cleanup: EngineCleanup,
    gates: GateFactory,
) {
    val gate = AdmissionController(definition.id, gates.create(definition.decodeLimits), context, ::preempt)
    private val attempts = AttemptTable(context)
    private val leases = ConcurrentHashMap<LeaseId, DecodeAttempt>()
    private val ids = EngineRequestIds(context.settings.incarnation)
    private val nextLease = AtomicLong()

    /** Registers an attempt and its ticket; the caller then waits for admission by [gate]. */
    fun enqueue(request: Reserve): Either<Refusal, DecodeAttempt> {
        val lease = LeaseId("${context.settings.incarnation.value}-${nextLease.incrementAndGet()}")
        val ticket =
            Ticket(
                id = TicketId(lease.value),
                organisation = request.organisation,
                rank = request.rank,
                kvBlocks = kvBlocks(request.promptTokens, request.maxOutputTokens),
                grantDeadlineMs = context.clock.nowMs() + minOf(request.firstTokenDueMs, request.deadlineMs),
            )
        val key = AttemptKey(request.organisation, request.requestId, request.attempt)
        val attempt = DecodeAttempt(key, ticket, lease, request.model, ::onWithdrawn)
        attempts.add(attempt)?.let { return it.left() }
        leases[lease] = attempt
        if (state.tryBegin()) return attempt.right()
        unregister(attempt)
        return Refusal(RefusalReason.ENDPOINT_LEAVING).left()
    }

    /** Expires the lease of [attempt] unless a stream is started on it in time. */
    fun scheduleLeaseExpiry(attempt: DecodeAttempt) {
        context.scope.launch {
            delay(context.settings.leaseMs)
            if (attempt.withdraw()) context.counters.leaseExpired()
        }
    }

    fun find(lease: LeaseId): DecodeAttempt? = leases[lease]

    /** Stream of the latest attempt of a request, running or retained. */
    fun findStream(
        organisation: OrganisationId,
        requestId: RequestId,
    ): DecodeAttempt? =
        attempts.all
            .filterIsInstance<DecodeAttempt>()
            .filter { it.key.organisation == organisation && it.key.requestId == requestId && it.stream != null }
            .maxByOrNull { it.key.attempt }

    fun fits(
        request: Decode,
        attempt: DecodeAttempt,
    ): Boolean = kvBlocks(request.promptTokens, request.maxOutputTokens) <= attempt.ticket.kvBlocks

    /** Starts the stream of an attempt whose lease was just consumed. */
    fun start(
        attempt: DecodeAttempt,
        request: Decode,
    ): DecodeStream {
        val id = ids.decode(attempt.key)
        val generateRequest =
            GenerateRequest(
                id = id,
                model = request.model.value,
                prompt = request.prompt,
                maxOutputTokens = request.maxOutputTokens,
                priority = request.rank.ordinal,
                fromPosition = request.fromPosition,
            )
        val buffer = StreamBuffer(request.fromPosition)
        val runner = StreamRunner(definition.engine, context, generateRequest, request.source, buffer, gate::observeInterTokenMs)
        val stream = DecodeStream(context, runner, buffer, state::end)
        context.scope.launch {
            stream.run(request.deadlineMs) { outcome ->
                if (outcome is StreamOutcome.Complete) {
                    gate.release(attempt.ticket.id)
                } else {
                    cleanup.cancel(id) { gate.release(attempt.ticket.id) }
                }
            }
            attempts.removeLater(attempt)
            leases.remove(attempt.lease)
        }
        attempt.attach(stream)
        return stream
    }

    suspend fun cancel(key: AttemptKey): Boolean? = attempts.cancel(key)

    private fun preempt(ticket: TicketId) {
        val attempt = leases[LeaseId(ticket.value)] ?: return gate.release(ticket)
        context.scope.launch { attempt.preempt() }
    }

    private fun onWithdrawn(attempt: DecodeAttempt) {
        gate.release(attempt.ticket.id)
        attempts.remove(attempt)
        state.end()
        // The lease is retained so that a late decode request is refused with the reason why it ended.
        context.scope.launch {
            delay(context.settings.graceMs)
            leases.remove(attempt.lease)
        }
    }

    private fun unregister(attempt: DecodeAttempt) {
        attempts.remove(attempt)
        leases.remove(attempt.lease)
    }

    private fun kvBlocks(
        promptTokens: Int,
        maxOutputTokens: Int,
    ): Int = definition.kvBlocks(promptTokens.toLong() + maxOutputTokens)
}
