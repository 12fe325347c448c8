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
    private val access: EndpointAccess,
    private val replies: Replies,
) {
    suspend fun handle(
        endpoint: EngineEndpoint,
        request: Reserve,
        sink: ReplySink,
    ) {
        val desk = endpoint.decode
        access.forModel(endpoint, request.model, ROLES)?.let { return replies.refuse(sink, it, desk.gate.load()) }
        val work = desk.open(request).getOrElse { return replies.refuse(sink, it, desk.gate.load()) }
        val startedAtMs = context.clock.nowMs()
        val decision = whileWanted(sink, work.over) { desk.gate.admit(work.ticket) }
        val refusal = decision?.leftOrNull() ?: LEAVING.takeIf { decision != null && !endpoint.state.takesWork }
        if (decision == null || refusal != null || !work.grant()) {
            work.withdraw()
            return replies.refuse(sink, refusal ?: Refusal(work.lapseReason, "the request ended while it waited"), desk.gate.load())
        }
        desk.limitLease(work)
        val queuedMs = context.clock.nowMs() - startedAtMs
        val told = sink.send(Reserved(work.lease, context.settings.leaseMs, queuedMs, desk.gate.load()))
        if (!told) work.withdraw()
    }

    private companion object {
        val ROLES = setOf(EndpointRole.DECODE, EndpointRole.MIXED)
    }
}
