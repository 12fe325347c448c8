package io.knapweedferry.testing.deploy

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ModelName
import io.knapweedferry.api.ServiceName
import io.knapweedferry.config.state.ConfigState
import io.knapweedferry.config.state.EndpointAssignment
import io.knapweedferry.config.state.EndpointRole
import io.knapweedferry.testing.standin.settings.EngineSettings
import io.knapweedferry.testing.standin.settings.InstanceListSettings
import io.knapweedferry.testing.standin.settings.InstanceSettings
import io.knapweedferry.testing.standin.settings.LinkSettings
import io.knapweedferry.testing.standin.settings.LogSettings
import io.knapweedferry.testing.standin.settings.ServiceSettings
import io.knapweedferry.testing.standin.settings.StandInsSettings
import io.knapweedferry.testing.standin.settings.WeightSettings
import io.knapweedferry.testing.standin.settings.WeightStoreSettings
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

/** Addresses, instances and endpoint assignments of a deployment. */
internal class DeploymentLayout(
    private val plan: DeploymentPlan,
) {
    val endpointNames: List<String> = plan.engines.map { it.name } + plan.services.map { it.name }
    private val ports = freePorts(plan.entryCount + endpointNames.size)

    fun entryAddress(index: Int): String = "$HOST:${ports[index]}"

    fun sidecarAddress(endpoint: String): String = "$HOST:${ports[plan.entryCount + endpointNames.indexOf(endpoint)]}"

    fun zoneOf(endpoint: String): String =
        plan.engines.firstOrNull { it.name == endpoint }?.availabilityZone
            ?: plan.services.first { it.name == endpoint }.availabilityZone

    fun fleetConfig(): ConfigState = plan.policies.copy(endpoints = engineAssignments() + serviceAssignments())

    /** Settings of the stand-ins; [listedAddress] returns the sidecar address that the instance list shows for an endpoint. */
    fun standInSettings(listedAddress: (String) -> String) =
        StandInsSettings(
            seed = plan.seed,
            enginePerformance = plan.enginePerformance,
            log = LogSettings(port = 0, appendsPerSecond = plan.logAppendsPerSecond, retentionMs = plan.logRetentionMs),
            instanceList = InstanceListSettings(port = 0, lagMs = plan.instanceListLagMs),
            instances = endpointNames.map { instance(it, listedAddress(it)) },
            weightStore = WeightStoreSettings(port = 0),
            weights = plan.policies.models.map { (name, policy) -> WeightSettings(name.value, policy.version, WEIGHT_BYTES) },
            links = plan.availabilityZones.map { LinkSettings(it, plan.linkBytesPerSecond) },
            engines = plan.engines.map(::engine),
            services = plan.services.map { ServiceSettings(it.name, port = 0, durationMs = it.durationMs) },
        )

    private fun engine(engine: PlannedEngine) =
        EngineSettings(
            name = engine.name,
            port = 0,
            model = engine.model,
            version =
                plan.policies.models
                    .getValue(ModelName(engine.model))
                    .version,
            role = engine.role.name.lowercase(),
            link = engine.availabilityZone,
            slots = engine.slots,
            kvBlocks = engine.kvBlocks,
            checksFencing = engine.checksFencing,
        )

    private fun instance(
        endpoint: String,
        sessionAddress: String,
    ): InstanceSettings {
        val isEngine = plan.engines.any { it.name == endpoint }
        return InstanceSettings(
            instance = "instance-$endpoint",
            availabilityZone = zoneOf(endpoint),
            sessionAddress = sessionAddress,
            engines = if (isEngine) listOf(endpoint) else emptyList(),
            services = if (isEngine) emptyList() else listOf(endpoint),
        )
    }

    private fun engineAssignments() =
        plan.engines.associate { EndpointId(it.name) to EndpointAssignment(it.role, model = ModelName(it.model)) }

    private fun serviceAssignments() =
        plan.services.associate {
            EndpointId(it.name) to EndpointAssignment(EndpointRole.SERVICE, service = ServiceName(it.service))
        }

    /**
     * Returns ports that are free at the moment. They lie below the ephemeral port range, so that the system does not assign
     * one of them to a connection before the daemon binds it, which would prevent the daemon from starting.
     */
    private fun freePorts(count: Int): List<Int> =
        generateSequence { Random.nextInt(FIRST_PORT, LAST_PORT) }
            .distinct()
            .filter(::isFree)
            .take(count)
            .toList()

    private fun isFree(port: Int): Boolean =
        try {
            ServerSocket(port, 1, InetAddress.getByName(HOST)).close()
            true
        } catch (_: IOException) {
            false
        }

    private companion object {
        const val HOST = "127.0.0.1"
        const val FIRST_PORT = 15_000
        const val LAST_PORT = 32_000
        const val WEIGHT_BYTES = 200_000_000L
    }
}
