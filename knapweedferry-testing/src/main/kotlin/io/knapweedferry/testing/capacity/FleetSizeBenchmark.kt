package io.knapweedferry.testing.capacity

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ModelName
import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.Rank
import io.knapweedferry.api.ServiceName
import io.knapweedferry.config.intent.Intent
import io.knapweedferry.config.state.ConfigState
import io.knapweedferry.config.state.EndpointAssignment
import io.knapweedferry.config.state.EndpointRole
import io.knapweedferry.config.state.ModelPolicy
import io.knapweedferry.config.state.OrganisationPolicy
import io.knapweedferry.testing.deploy.DeploymentPlan
import io.knapweedferry.testing.deploy.Deployments
import io.knapweedferry.testing.deploy.LocalDeployment
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody

/** Measures memory, CPU time and I/O of an idle entry and an idle sidecar for different sizes of the fleet and its configuration. */
internal class FleetSizeBenchmark(
    private val deployment: LocalDeployment,
    private val seconds: Long,
) {
    private val http = OkHttpClient()
    private var listedCount = 0

    fun measure(
        endpoints: Int,
        organisations: Int,
        models: Int,
    ) {
        while (listedCount < endpoints) addToInstanceList(listedCount++)
        val started = System.nanoTime()
        if (endpoints + organisations > 0) applyConfig(configState(endpoints, organisations, models))
        Thread.sleep(STABILIZATION_MS)
        val processes = listOf(deployment.entries[0], deployment.sidecars.getValue("decode-1"))
        val use = ResourceUsage.during(processes) { Thread.sleep(seconds * MS_PER_SECOND) }
        val label = "listed and assigned +$endpoints, organisations +$organisations, models +$models"
        println("$label: entry ${use[0]}; sidecar ${use[1]}; total elapsed ${(System.nanoTime() - started) / NANOS_PER_MS} ms")
    }

    private fun configState(
        endpoints: Int,
        organisations: Int,
        models: Int,
    ): ConfigState {
        val base = deployment.plan.policies
        val extraModels = (0 until models).associate { ModelName("model-$it") to ModelPolicy("1", CONTEXT_TOKENS) }
        val names = base.models.keys.toList() + extraModels.keys
        val extra =
            (0 until endpoints).associate {
                EndpointId("unstarted-$it") to EndpointAssignment(EndpointRole.MIXED, model = names[it % names.size])
            }
        val callers =
            (0 until organisations).associate {
                OrganisationId("organisation-$it") to OrganisationPolicy(listOf(Deployments.sha256("key-$it")), Rank.STANDARD)
            }
        return base.copy(
            models = base.models + extraModels,
            organisations = base.organisations + callers,
            endpoints = startedAssignments(deployment.plan) + extra,
        )
    }

    private fun startedAssignments(plan: DeploymentPlan) =
        plan.engines.associate { EndpointId(it.name) to EndpointAssignment(it.role, model = ModelName(it.model)) } +
            plan.services.associate {
                EndpointId(it.name) to EndpointAssignment(EndpointRole.SERVICE, service = ServiceName(it.service))
            }

    private fun applyConfig(state: ConfigState) {
        val intent = Json.encodeToString(Intent.serializer(), Intent.ApplyFleet(state, force = true))
        val report = Json.parseToJsonElement(deployment.callOperatorApi(0, "/intents", intent)).jsonObject
        println("configuration of ${intent.length} bytes as an intent")
        deployment.callOperatorApi(0, "/plans/${report.getValue("id").jsonPrimitive.content}/confirm", "")
    }

    private fun addToInstanceList(index: Int) {
        val body =
            """{"instance":"instance-unstarted-$index","availabilityZone":"haverhill","sessionAddress":"127.0.0.1:1",""" +
                """"state":"LIVE","endpoints":[{"endpoint":"unstarted-$index","kind":"ENGINE"}]}"""
        val request =
            Request
                .Builder()
                .url("${deployment.standIns.url("instance_list")}/admin/instances")
                .post(body.toRequestBody("application/json".toMediaType()))
        http.newCall(request.build()).execute().use { check(it.isSuccessful) { it.body.string() } }
    }

    private companion object {
        const val STABILIZATION_MS = 1_500L
        const val MS_PER_SECOND = 1_000L
        const val NANOS_PER_MS = 1_000_000L
        const val CONTEXT_TOKENS = 32_000
    }
}
