package io.knapweedferry.sidecar.server

import io.knapweedferry.api.message.Acknowledged
import io.knapweedferry.api.message.Release
import io.knapweedferry.session.ReplySink

/** Releases leases that the caller will not use. */
internal class ReleaseHandler {
    suspend fun handle(
        endpoint: EngineEndpoint,
        request: Release,
        sink: ReplySink,
    ) {
        endpoint.decode.find(request.lease)?.withdraw()
        sink.send(Acknowledged)
    }
}
