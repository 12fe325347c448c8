package io.knapweedferry.sidecar.server

import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.api.message.Attach
import io.knapweedferry.session.ReplySink

/** Resumes delivery of a running or retained stream to a client that reconnects. */
internal class AttachHandler(
    private val replies: ErrorReplies,
) {
    suspend fun handle(
        endpoint: EngineEndpoint,
        request: Attach,
        sink: ReplySink,
    ) {
        val scheduler = endpoint.decode
        val attempt = scheduler.findStream(request.organisation, request.requestId)
        val stream = attempt?.stream
        if (stream == null || request.fromPosition < stream.buffer.basePosition) {
            val refusal = Refusal(RefusalReason.LEASE_EXPIRED, "no stream is available from position ${request.fromPosition}")
            return replies.refuse(sink, refusal, scheduler.gate.load())
        }
        StreamDelivery(attempt.key, stream, scheduler.gate, replies).run(sink, request.fromPosition, announceStart = false)
    }
}
