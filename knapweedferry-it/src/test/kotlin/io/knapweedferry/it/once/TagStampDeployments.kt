package io.knapweedferry.it.once

import io.knapweedferry.api.OperationName
import io.knapweedferry.api.ServiceName
import io.knapweedferry.it.DaemonLibraries
import io.knapweedferry.testing.deploy.Deployments
import io.knapweedferry.testing.deploy.LocalDeployment
import io.knapweedferry.testing.deploy.PlannedService
import java.nio.file.Path

/** Deployments with two entries, no engines and only `dock-clerk` services. */
internal object TagStampDeployments {
    // Lets calls to an unresponsive service or sidecar end within a few seconds.
    private const val OPERATION_TIMEOUT_MS = 1_000L

    fun start(
        folder: Path,
        serviceCount: Int,
        seed: Long,
        logRetentionMs: Long = 600_000,
    ): LocalDeployment {
        val small = Deployments.small()
        val service = ServiceName("dock-clerk")
        val policy = small.policies.services.getValue(service)
        val operations = policy.operations.mapValues { it.value.copy(timeoutMs = OPERATION_TIMEOUT_MS) }
        check(OperationName("tag-stamp") in operations)
        val plan =
            small.copy(
                engines = emptyList(),
                services = List(serviceCount) { PlannedService("dock-${it + 1}", small.availabilityZones[it % 2], service.value) },
                policies = small.policies.copy(services = mapOf(service to policy.copy(operations = operations))),
                logRetentionMs = logRetentionMs,
                // Configuration snapshots are renewed between two polls, so a poll must be much shorter than the log retention.
                entrySettings = mapOf("platform" to listOf("poll_wait_ms = 300")),
                seed = seed,
            )
        return LocalDeployment(plan, folder, DaemonLibraries.classPath, withFaultProxies = true).also { it.start() }
    }
}
