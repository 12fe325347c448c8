package io.knapweedferry.sidecar.server

import io.knapweedferry.api.Revision
import io.knapweedferry.api.message.ConfigOffer
import io.knapweedferry.api.message.ConfigPull
import io.knapweedferry.session.ReplySink

/**
 * Offers the configuration to peers that are behind. The offer carries the folded state with plans and steps, because the
 * peer has to fold on from it.
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
