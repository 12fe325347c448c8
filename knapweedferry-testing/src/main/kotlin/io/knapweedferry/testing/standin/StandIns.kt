package io.knapweedferry.testing.standin

import io.javalin.config.RoutesConfig
import io.knapweedferry.api.AvailabilityZone
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.InstanceId
import io.knapweedferry.platform.instance.EndpointKind
import io.knapweedferry.platform.instance.InstanceState
import io.knapweedferry.platform.instance.ListedEndpoint
import io.knapweedferry.platform.instance.ListedInstance
import io.knapweedferry.testing.standin.engine.EngineDirectory
import io.knapweedferry.testing.standin.engine.EngineEnvironment
import io.knapweedferry.testing.standin.engine.EngineRoutes
import io.knapweedferry.testing.standin.engine.EngineStandIn
import io.knapweedferry.testing.standin.engine.GenerateServlet
import io.knapweedferry.testing.standin.http.AdminRoutes
import io.knapweedferry.testing.standin.http.AdminTarget
import io.knapweedferry.testing.standin.http.RequestHandler
import io.knapweedferry.testing.standin.http.StandInServer
import io.knapweedferry.testing.standin.instance.InstanceListRoutes
import io.knapweedferry.testing.standin.instance.InstanceListStandIn
import io.knapweedferry.testing.standin.log.LogRoutes
import io.knapweedferry.testing.standin.log.LogStandIn
import io.knapweedferry.testing.standin.service.ServiceRoutes
import io.knapweedferry.testing.standin.service.ServiceStandIn
import io.knapweedferry.testing.standin.settings.InstanceSettings
import io.knapweedferry.testing.standin.settings.StandInsSettings
import io.knapweedferry.testing.standin.weight.WeightStoreRoutes
import io.knapweedferry.testing.standin.weight.WeightStoreStandIn
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlin.time.TimeSource

/**
 * Stand-ins (simulators) of the external systems: the log, the instance list, the weight store, model engines and services.
 * Each listens on its own port and runs in this process.
 */
public class StandIns(
    private val settings: StandInsSettings,
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val handler = RequestHandler(scope)
    private val log = settings.log?.let { LogStandIn(it, settings.seed) }
    private val instanceList = settings.instanceList?.let { InstanceListStandIn(it.lagMs, settings.instances.map(::listed)) }
    private val weightStore = settings.weightStore?.let { WeightStoreStandIn(it.rateBytesPerSecond, settings.weights) }
    private val environment =
        EngineEnvironment(
            enginePerformance = settings.enginePerformance,
            directory = EngineDirectory(settings.links, settings.enginePerformance, TimeSource.Monotonic),
            weights = weightStore,
            seed = settings.seed,
            scope = scope,
        )
    private val engines = settings.engines.associate { it.name to EngineStandIn(it, environment) }
    private val services = settings.services.associate { it.name to ServiceStandIn(it) }
    private val server = StandInServer(settings.host, ports(), mapOf("/generate" to GenerateServlet(scope, engines)), ::register)

    /** Starts all stand-ins; returns once all ports accept connections. */
    public fun start() {
        server.start()
        engines.forEach { (name, engine) ->
            if (engine.url.isEmpty()) engine.url = url(name)
            environment.directory.add(engine)
        }
    }

    /** Base URL of a stand-in: `log`, `instance_list`, `weight_store`, or the name of an engine or service. */
    public fun url(name: String): String = "http://${settings.host}:${server.port(name)}"

    override fun close() {
        scope.cancel()
        server.close()
    }

    private fun register(routes: RoutesConfig) {
        log?.let { LogRoutes(handler, it).register(routes) }
        instanceList?.let { InstanceListRoutes(handler, it).register(routes) }
        weightStore?.let { WeightStoreRoutes(handler, it).register(routes) }
        EngineRoutes(handler, engines).register(routes)
        ServiceRoutes(handler, services).register(routes)
        AdminRoutes(handler, adminTargets()).register(routes)
    }

    private fun adminTargets(): Map<String, AdminTarget<*, *>> =
        buildMap {
            log?.let { put(LOG, it) }
            instanceList?.let { put(INSTANCE_LIST, it) }
            weightStore?.let { put(WEIGHT_STORE, it) }
            putAll(engines)
            putAll(services)
        }

    private fun ports(): Map<String, Int> {
        val named =
            listOfNotNull(
                settings.log?.let { LOG to it.port },
                settings.instanceList?.let { INSTANCE_LIST to it.port },
                settings.weightStore?.let { WEIGHT_STORE to it.port },
            ) + settings.engines.map { it.name to it.port } + settings.services.map { it.name to it.port }
        require(named.distinctBy { it.first }.size == named.size) { "names of stand-ins must be unique; rename engines or services" }
        return named.toMap()
    }

    private fun listed(instance: InstanceSettings): ListedInstance =
        ListedInstance(
            instance = InstanceId(instance.instance),
            availabilityZone = AvailabilityZone(instance.availabilityZone),
            sessionAddress = instance.sessionAddress,
            state = InstanceState.LIVE,
            endpoints =
                instance.engines.map { ListedEndpoint(EndpointId(it), EndpointKind.ENGINE) } +
                    instance.services.map { ListedEndpoint(EndpointId(it), EndpointKind.SERVICE) },
        )

    private companion object {
        const val LOG = "log"
        const val INSTANCE_LIST = "instance_list"
        const val WEIGHT_STORE = "weight_store"
    }
}
