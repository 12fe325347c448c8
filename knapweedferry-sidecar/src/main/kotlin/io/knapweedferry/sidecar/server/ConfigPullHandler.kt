package io.knapweedferry.sidecar.server

import io.knapweedferry.api.Revision
import io.knapweedferry.api.message.ConfigOffer
import io.knapweedferry.api.message.ConfigPull
import io.knapweedferry.session.ReplySink

/**
 * Serves the configuration to peers with an older revision. The offer contains the stream state with plans and steps,
 * because the peer applies later log records on top of it.
 */
internal class ConfigPullHandler(
    private val offers: (Revision) -> ConfigOffer,
) {
    suspend fun handle(
        request: ConfigPull,
        sink: ReplySink,
    ) {
        sink.send(offers(request.newerThan))
    }
}
