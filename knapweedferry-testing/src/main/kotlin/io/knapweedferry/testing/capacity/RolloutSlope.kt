package io.knapweedferry.testing.capacity

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ModelName
import io.knapweedferry.config.intent.Intent
import io.knapweedferry.config.state.EndpointAssignment
import io.knapweedferry.config.state.EndpointRole
import io.knapweedferry.testing.deploy.Deployments
import io.knapweedferry.testing.deploy.LocalDeployment
import io.knapweedferry.testing.deploy.PlannedEngine
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.nio.file.Path

/** Time from a confirmation until all endpoints report the change applied, against the number of sidecars that follow the log. */
internal class RolloutSlope(
    private val folder: Path,
) {
    fun measure(sidecars: Int) {
        val zones = Deployments.small().availabilityZones
        val engines = List(sidecars) { PlannedEngine("decode-$it", zones[it % zones.size], EndpointRole.DECODE, MODEL) }
        val plan = Deployments.small().copy(engines = engines, services = emptyList())
        LocalDeployment(plan, folder.resolve("rollout-$sidecars")).use { deployment ->
            deployment.start()
            repeat(RUNS) { change(deployment, draining = it % 2 == 0) }
        }
    }

    private fun change(
        deployment: LocalDeployment,
        draining: Boolean,
    ) {
        val assignment = EndpointAssignment(EndpointRole.DECODE, model = ModelName(MODEL), draining = draining)
        val state = deployment.plan.policies.copy(endpoints = deployment.plan.engines.associate { EndpointId(it.name) to assignment })
        val intent = Json.encodeToString(Intent.serializer(), Intent.ApplyFleet(state, force = true))
        val id =
            Json
                .parseToJsonElement(deployment.operate(0, "/intents", intent))
                .jsonObject
                .getValue("id")
                .jsonPrimitive.content
        var elapsedMs = 0L
        val use =
            ProcessUse.during(deployment.sidecars.values.toList()) {
                val start = System.nanoTime()
                deployment.operate(0, "/plans/$id/confirm", "")
                deployment.entries.indices.forEach { deployment.awaitRollout(it) }
                elapsedMs = (System.nanoTime() - start) / NANOS_PER_MS
            }
        val steps =
            Json
                .parseToJsonElement(deployment.operate(0, "/status", null))
                .jsonObject["steps"]
                ?.jsonArray
                ?.size
        println(
            "${deployment.sidecars.size} sidecars, $steps steps: in force after $elapsedMs ms; " +
                "per sidecar cpu ${use.sumOf { it.cpuMs } / use.size} ms, io ${use.sumOf { it.ioBytes } / use.size} B",
        )
    }

    private companion object {
        const val MODEL = "harbor-review"
        const val RUNS = 3
        const val NANOS_PER_MS = 1_000_000L
    }
}
