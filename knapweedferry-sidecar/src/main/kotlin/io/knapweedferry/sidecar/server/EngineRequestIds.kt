package io.knapweedferry.sidecar.server

import io.knapweedferry.api.Incarnation
import io.knapweedferry.platform.engine.EngineRequestId

/** Creates ids for requests to an engine; each starts with the incarnation of the sidecar. */
internal class EngineRequestIds(
    incarnation: Incarnation,
) {
    private val prefix = "${incarnation.value}."

    fun prefill(key: AttemptKey): EngineRequestId = id("p", key)

    fun decode(key: AttemptKey): EngineRequestId = id("d", key)

    /** Whether this incarnation created [id]. */
    fun isOwn(id: EngineRequestId): Boolean = id.value.startsWith(prefix)

    private fun id(
        kind: String,
        key: AttemptKey,
    ) = EngineRequestId("$prefix$kind.${key.attempt}.${key.organisation.value}.${key.requestId.value}")
}
