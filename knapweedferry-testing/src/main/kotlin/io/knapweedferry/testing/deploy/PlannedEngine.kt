package io.knapweedferry.testing.deploy

import io.knapweedferry.config.state.EndpointRole

/** Engine of a deployment, which gets its own sidecar. */
public data class PlannedEngine(
    val name: String,
    val availabilityZone: String,
    val role: EndpointRole,
    val model: String,
    val slots: Int = 20,
    val kvBlocks: Int = 60,
    val checksFencing: Boolean = true,
)
