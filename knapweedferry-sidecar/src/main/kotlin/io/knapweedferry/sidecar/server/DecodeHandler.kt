package io.knapweedferry.sidecar.server

import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.api.message.Decode
import io.knapweedferry.session.ReplySink

/** Turns leases into streams. */
internal class DecodeHandler(
    private val replies: Replies,
) {
    suspend fun handle(
        endpoint: EngineEndpoint,
        request: Decode,
        sink: ReplySink,
    ) {
        val desk = endpoint.decode
        val work = desk.find(request.lease)
        val refusal = if (work == null) Refusal(RefusalReason.LEASE_EXPIRED) else check(desk, work, request)
        if (work == null || refusal != null) return replies.refuse(sink, refusal ?: LEAVING, desk.gate.load())
        val stream = desk.start(work, request)
        StreamDelivery(work.key, stream, desk.gate, replies).run(sink, request.fromPosition, announceStart = true)
    }

    /** Work in progress ends normally on an endpoint that is leaving, so a lease that is held may be used. */
    private fun check(
        desk: DecodeDesk,
        work: DecodeWork,
        request: Decode,
    ): Refusal? {
        val key = WorkKey(request.organisation, request.requestId, request.attempt)
        if (work.key != key) return Refusal(RefusalReason.LEASE_EXPIRED, "the lease belongs to another attempt")
        if (work.model != request.model) return Refusal(RefusalReason.WRONG_MODEL, "the lease is for ${work.model.value}")
        if (!desk.fits(request, work)) return Refusal(RefusalReason.PROMPT_TOO_LONG, "the lease is for ${work.ticket.pieces} pieces")
        if (work.use()) return null
        if (work.isRunning) return Refusal(RefusalReason.DUPLICATE_IN_PROGRESS, "the lease was used before")
        return Refusal(work.lapseReason)
    }
}
