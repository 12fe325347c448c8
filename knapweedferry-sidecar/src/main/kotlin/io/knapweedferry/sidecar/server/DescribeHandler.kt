package io.knapweedferry.sidecar.server

import io.knapweedferry.api.Revision
import io.knapweedferry.api.message.Described
import io.knapweedferry.session.ReplySink

/** Tells who this sidecar is and what its endpoints carry. */
internal class DescribeHandler(
    private val context: SidecarContext,
    private val endpoints: Endpoints,
) {
    suspend fun handle(sink: ReplySink) {
        val snapshot = context.config.current()
        val loads = endpoints.all.map { it.load(snapshot?.state?.endpoints?.get(it.id)) }
        sink.send(Described(context.settings.incarnation, snapshot?.revision ?: Revision.NONE, context.draining, loads))
    }
}
