package io.knapweedferry.testing.deploy

import io.knapweedferry.config.state.ConfigState
import io.knapweedferry.testing.standin.settings.EnginePerformance
import io.knapweedferry.testing.standin.settings.LogSettings

/** Topology and settings of a [LocalDeployment]. */
public data class DeploymentPlan(
    val availabilityZones: List<String>,
    val entryCount: Int,
    val engines: List<PlannedEngine>,
    val services: List<PlannedService>,
    /** Configuration without the endpoints, which are derived from [engines] and [services]. */
    val policies: ConfigState,
    val enginePerformance: EnginePerformance = EnginePerformance(),
    val logAppendsPerSecond: Double = 300.0,
    val logRetentionMs: Long = LogSettings(port = 0).retentionMs,
    val instanceListLagMs: Long = 200,
    val linkBytesPerSecond: Long = 10_000_000_000,
    val seed: Long = 1,
    /** Additional lines for the settings file of each entry, by section. */
    val entrySettings: Map<String, List<String>> = emptyMap(),
    /** Additional lines for the settings file of each sidecar, by section. */
    val sidecarSettings: Map<String, List<String>> = emptyMap(),
)
