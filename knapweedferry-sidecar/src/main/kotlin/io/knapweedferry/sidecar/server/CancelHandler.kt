package io.knapweedferry.sidecar.server

import io.knapweedferry.api.message.Cancel
import io.knapweedferry.api.message.Cancelled
import io.knapweedferry.session.ReplySink

/** Cancels one attempt and frees the resources that the endpoint holds for it. */
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
