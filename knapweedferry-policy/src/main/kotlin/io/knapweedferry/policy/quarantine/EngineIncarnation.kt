package io.knapweedferry.policy.quarantine

import io.knapweedferry.api.EndpointId

/** One process of an engine; after a crash, the next one may have the same id but starts later. */
public data class EngineIncarnation(
    val engine: EndpointId,
    /** Unix time in milliseconds, as the engine reports it. */
    val startedAtMs: Long,
)
