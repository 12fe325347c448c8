package io.knapweedferry.testing.deploy

/** Plain service of a deployment, which gets its own sidecar. */
public data class PlannedService(
    val name: String,
    val availabilityZone: String,
    val service: String,
    val durationMs: Long = 20,
)
