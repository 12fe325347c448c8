package io.knapweedferry.sidecar.server

import arrow.core.getOrElse
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.message.Reserve
import io.knapweedferry.api.message.Reserved
import io.knapweedferry.config.state.EndpointRole
import io.knapweedferry.session.ReplySink

/** Grants leases on decode capacity. */
internal class ReserveHandler(
    private val context: SidecarContext,
    private val assignmentCheck: AssignmentCheck,
    private val replies: ErrorReplies,
) {
    suspend fun handle(
        endpoint: EngineEndpoint,
        request: Reserve,
        sink: ReplySink,
    ) {
        val scheduler = endpoint.decode
        assignmentCheck.forModel(endpoint, request.model, ROLES)?.let { return replies.refuse(sink, it, scheduler.gate.load()) }
        val attempt = scheduler.enqueue(request).getOrElse { return replies.refuse(sink, it, scheduler.gate.load()) }
        val startedAtMs = context.clock.nowMs()
        val decision = runUntilCancelled(sink, attempt.cancellation) { scheduler.gate.admit(attempt.ticket) }
        val refusal = decision?.leftOrNull() ?: ENDPOINT_LEAVING_REFUSAL.takeIf { decision != null && !endpoint.state.acceptsWork }
        if (decision == null || refusal != null || !attempt.grantLease()) {
            attempt.withdraw()
            return replies.refuse(sink, refusal ?: Refusal(attempt.endReason, "the attempt ended while queued"), scheduler.gate.load())
        }
        scheduler.scheduleLeaseExpiry(attempt)
        val queuedMs = context.clock.nowMs() - startedAtMs
        val delivered = sink.send(Reserved(attempt.lease, context.settings.leaseMs, queuedMs, scheduler.gate.load()))
        if (!delivered) attempt.withdraw()
    }

    private companion object {
        val ROLES = setOf(EndpointRole.DECODE, EndpointRole.MIXED)
    }
}
