package io.knapweedferry.it.once

import io.knapweedferry.api.OperationName
import io.knapweedferry.api.ServiceName
import io.knapweedferry.it.Daemons
import io.knapweedferry.testing.deploy.Deployments
import io.knapweedferry.testing.deploy.LocalDeployment
import io.knapweedferry.testing.deploy.PlannedService
import java.nio.file.Path

/** Deployments with two entries and dock clerks only. */
internal object StampDeployments {
    // Short, so that calls whose service or sidecar stays silent end within a few seconds.
    private const val OPERATION_TIMEOUT_MS = 1_000L

    fun start(
        folder: Path,
        clerks: Int,
        seed: Long,
        logRetentionMs: Long = 600_000,
    ): LocalDeployment {
        val small = Deployments.small()
        val clerk = ServiceName("dock-clerk")
        val policy = small.policies.services.getValue(clerk)
        val operations = policy.operations.mapValues { it.value.copy(timeoutMs = OPERATION_TIMEOUT_MS) }
        check(OperationName("tag-stamp") in operations)
        val plan =
            small.copy(
                engines = emptyList(),
                services = List(clerks) { PlannedService("dock-${it + 1}", small.availabilityZones[it % 2], clerk.value) },
                policies = small.policies.copy(services = mapOf(clerk to policy.copy(operations = operations))),
                logRetentionMs = logRetentionMs,
                // Snapshots of the configuration are renewed between two polls, so a poll must be much shorter than retention.
                entrySettings = mapOf("platform" to listOf("poll_wait_ms = 300")),
                seed = seed,
            )
        return LocalDeployment(plan, folder, Daemons.classPath, proxied = true).also { it.start() }
    }
}
