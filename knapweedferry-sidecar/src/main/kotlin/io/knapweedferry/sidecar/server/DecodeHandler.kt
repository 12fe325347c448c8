package io.knapweedferry.sidecar.server

import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.api.message.Decode
import io.knapweedferry.session.ReplySink

/** Starts token streams on leased decode capacity and delivers them. */
internal class DecodeHandler(
    private val replies: ErrorReplies,
) {
    suspend fun handle(
        endpoint: EngineEndpoint,
        request: Decode,
        sink: ReplySink,
    ) {
        val scheduler = endpoint.decode
        val attempt = scheduler.find(request.lease)
        val refusal = if (attempt == null) Refusal(RefusalReason.LEASE_EXPIRED) else check(scheduler, attempt, request)
        if (attempt == null || refusal != null) return replies.refuse(sink, refusal ?: ENDPOINT_LEAVING_REFUSAL, scheduler.gate.load())
        val stream = scheduler.start(attempt, request)
        StreamDelivery(attempt.key, stream, scheduler.gate, replies).run(sink, request.fromPosition, announceStart = true)
    }

    /** Does not check for draining: an endpoint finishes work in progress, which includes leases it has granted. */
    private fun check(
        scheduler: DecodeScheduler,
        attempt: DecodeAttempt,
        request: Decode,
    ): Refusal? {
        val key = AttemptKey(request.organisation, request.requestId, request.attempt)
        if (attempt.key != key) return Refusal(RefusalReason.LEASE_EXPIRED, "the lease belongs to another attempt")
        if (attempt.model != request.model) return Refusal(RefusalReason.WRONG_MODEL, "the lease is for ${attempt.model.value}")
        if (!scheduler.fits(request, attempt)) {
            return Refusal(RefusalReason.PROMPT_TOO_LONG, "the lease covers ${attempt.ticket.kvBlocks} KV cache blocks")
        }
        if (attempt.consumeLease()) return null
        if (attempt.isRunning) return Refusal(RefusalReason.DUPLICATE_IN_PROGRESS, "a stream was already started on the lease")
        return Refusal(attempt.endReason)
    }
}
