package io.knapweedferry.routing.fleet

import io.knapweedferry.api.PromptPartId
import io.knapweedferry.api.ServiceName
import io.knapweedferry.policy.quarantine.EngineIncarnation

/** An engine closed the connection of a request that it had not begun to answer, as one instance saw it. */
public data class CrashReport(
    val service: ServiceName,
    val engine: EngineIncarnation,
    /** Shared parts of the prompt of the request. */
    val promptParts: Set<PromptPartId>,
    /** Time since the crash. */
    val ageMs: Long,
)
