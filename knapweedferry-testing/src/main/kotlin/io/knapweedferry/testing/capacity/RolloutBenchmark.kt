package io.knapweedferry.testing.capacity

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ModelName
import io.knapweedferry.config.intent.Intent
import io.knapweedferry.config.state.EndpointAssignment
import io.knapweedferry.config.state.EndpointRole
import io.knapweedferry.testing.deploy.Deployments
import io.knapweedferry.testing.deploy.LocalDeployment
import io.knapweedferry.testing.deploy.ManagedProcess
import io.knapweedferry.testing.deploy.PlannedEngine
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.nio.file.Path

/** Measures the time from the confirmation of a plan until all sidecars have applied it, for different numbers of sidecars. */
internal class RolloutBenchmark(
    private val folder: Path,
) {
    fun measure(sidecars: Int) {
        val zones = Deployments.small().availabilityZones
        val engines = List(sidecars) { PlannedEngine("decode-$it", zones[it % zones.size], EndpointRole.DECODE, MODEL) }
        val plan = Deployments.small().copy(engines = engines, services = emptyList())
        LocalDeployment(plan, folder.resolve("rollout-$sidecars")).use { deployment ->
            deployment.start()
            repeat(RUNS) { measureChange(deployment, draining = it % 2 == 0) }
        }
    }

    private fun measureChange(
        deployment: LocalDeployment,
        draining: Boolean,
    ) {
        val assignment = EndpointAssignment(EndpointRole.DECODE, model = ModelName(MODEL), draining = draining)
        val state = deployment.plan.policies.copy(endpoints = deployment.plan.engines.associate { EndpointId(it.name) to assignment })
        val intent = Json.encodeToString(Intent.serializer(), Intent.ApplyFleet(state, force = true))
        val id =
            Json
                .parseToJsonElement(deployment.callOperatorApi(0, "/intents", intent))
                .jsonObject
                .getValue("id")
                .jsonPrimitive.content
        var elapsedMs = 0L
        val sidecars = deployment.sidecars.values.toList()
        val use =
            ResourceUsage.during(sidecars) {
                val start = System.nanoTime()
                deployment.callOperatorApi(0, "/plans/$id/confirm", "")
                awaitRevision(sidecars, revision(deployment))
                elapsedMs = (System.nanoTime() - start) / NANOS_PER_MS
            }
        println(
            "${sidecars.size} sidecars: in force after $elapsedMs ms; " +
                "per sidecar cpu ${use.sumOf { it.cpuMs } / use.size} ms, io ${use.sumOf { it.ioBytes } / use.size} B, " +
                "largest io ${use.maxOf { it.ioBytes }} B",
        )
    }

    private fun revision(deployment: LocalDeployment): String =
        Json
            .parseToJsonElement(deployment.callOperatorApi(0, "/status", null))
            .jsonObject
            .getValue("revision")
            .jsonPrimitive.content

    /** Waits until all sidecars have logged [revision] as active. They serve no HTTP by default, so only their log shows it. */
    private fun awaitRevision(
        sidecars: List<ManagedProcess>,
        revision: String,
    ) {
        val activation = Regex("KF-0201 .*revision=$revision\\s")
        val deadline = System.nanoTime() + TIMEOUT_MS * NANOS_PER_MS
        while (System.nanoTime() < deadline) {
            if (sidecars.all { activation.containsMatchIn(it.logText()) }) return
            Thread.sleep(POLL_MS)
        }
        val missing = sidecars.filterNot { activation.containsMatchIn(it.logText()) }.map { it.name }
        error("timed out waiting for revision $revision to become active in $missing")
    }

    private companion object {
        const val MODEL = "harbor-review"
        const val RUNS = 3
        const val NANOS_PER_MS = 1_000_000L
        const val TIMEOUT_MS = 18_000L
        const val POLL_MS = 5L
    }
}
