package io.knapweedferry.sidecar.server

import io.knapweedferry.api.Revision
import io.knapweedferry.api.message.ConfigOffer
import io.knapweedferry.api.message.ConfigPull
import io.knapweedferry.config.state.ConfigState
import io.knapweedferry.session.ReplySink
import kotlinx.serialization.json.Json

/** Offers the configuration to peers that are behind. */
internal class ConfigPullHandler(
    private val context: SidecarContext,
) {
    suspend fun handle(
        request: ConfigPull,
        sink: ReplySink,
    ) {
        val snapshot = context.config.current()
        val revision = snapshot?.revision ?: Revision.NONE
        val newer = snapshot?.takeIf { it.revision > request.newerThan }
        val stateJson = newer?.let { Json.encodeToString(ConfigState.serializer(), it.state) }
        sink.send(ConfigOffer(revision, snapshot?.foldedOffset ?: Revision.NONE.value, stateJson))
    }
}
