package io.knapweedferry.testing.deploy

/** One plain service with its sidecar. */
public data class PlannedService(
    val name: String,
    val availabilityZone: String,
    val service: String,
    val durationMs: Long = 20,
)
