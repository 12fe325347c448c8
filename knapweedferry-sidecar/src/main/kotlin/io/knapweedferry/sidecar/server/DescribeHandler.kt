package io.knapweedferry.sidecar.server

import io.knapweedferry.api.Revision
import io.knapweedferry.api.message.Described
import io.knapweedferry.session.ReplySink

/** Reports the incarnation and configuration revision of this sidecar and the load of its endpoints. */
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
