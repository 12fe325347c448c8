package io.knapweedferry.sidecar.server

import io.knapweedferry.api.message.Cancel
import io.knapweedferry.api.message.Cancelled
import io.knapweedferry.session.ReplySink

/** Ends what an endpoint holds for one attempt. */
internal class CancelHandler {
    suspend fun handle(
        endpoint: Endpoint,
        request: Cancel,
        sink: ReplySink,
    ) {
        val beforeSubmission = endpoint.cancel(AttemptKey(request.organisation, request.requestId, request.attempt))
        sink.send(Cancelled(beforeSubmission))
    }
}
