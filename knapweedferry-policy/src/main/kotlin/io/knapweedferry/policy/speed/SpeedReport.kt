package io.knapweedferry.policy.speed

import io.knapweedferry.policy.quarantine.EngineIncarnation

/** Times of engines as one entry has measured them. */
public data class SpeedReport(
    val node: String,
    val engines: Map<EngineIncarnation, EngineTimes>,
)
