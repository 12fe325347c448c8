package io.knapweedferry.routing.fleet

import io.knapweedferry.api.PromptPartId
import io.knapweedferry.api.ServiceName
import io.knapweedferry.policy.quarantine.EngineIncarnation

/** An engine closed the connections of requests that it had not completed, as one instance saw it. */
public data class CrashReport(
    val service: ServiceName,
    val engine: EngineIncarnation,
    /** Shared parts of the prompts of these requests that may have caused the crash. */
    val promptParts: Set<PromptPartId>,
    /** Time since the crash. */
    val ageMs: Long,
    /** Time between the sending of the last of these requests and the crash. */
    val runMs: Long = 0,
)
