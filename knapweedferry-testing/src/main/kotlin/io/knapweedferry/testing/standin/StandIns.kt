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
import io.knapweedferry.testing.standin.engine.EngineRoutes
import io.knapweedferry.testing.standin.engine.EngineStandIn
import io.knapweedferry.testing.standin.engine.EngineSurroundings
import io.knapweedferry.testing.standin.http.Admin
import io.knapweedferry.testing.standin.http.AdminRoutes
import io.knapweedferry.testing.standin.http.Calls
import io.knapweedferry.testing.standin.http.StandInServer
import io.knapweedferry.testing.standin.instance.InstanceListRoutes
import io.knapweedferry.testing.standin.instance.InstanceListStandIn
import io.knapweedferry.testing.standin.log.LogRoutes
import io.knapweedferry.testing.standin.log.LogStandIn
import io.knapweedferry.testing.standin.service.ServiceRoutes
import io.knapweedferry.testing.standin.service.ServiceStandIn
import io.knapweedferry.testing.standin.settings.EngineSettings
import io.knapweedferry.testing.standin.settings.InstanceSettings
import io.knapweedferry.testing.standin.settings.StandInsSettings
import io.knapweedferry.testing.standin.weight.WeightRoutes
import io.knapweedferry.testing.standin.weight.WeightStoreStandIn
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlin.time.TimeSource

/** All stand-ins of one process. */
public class StandIns(
    private val settings: StandInsSettings,
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val calls = Calls(scope)
    private val log = settings.log?.let { LogStandIn(it, settings.seed) }
    private val instanceList = settings.instanceList?.let { InstanceListStandIn(it.lagMs, settings.instances.map(::listed)) }
    private val weightStore = settings.weightStore?.let { WeightStoreStandIn(it.rateBytesPerSecond, settings.weights) }
    private val surroundings =
        EngineSurroundings(
            timeScale = settings.timeScale,
            directory = EngineDirectory(settings.links, settings.timeScale, TimeSource.Monotonic),
            weights = weightStore,
            seed = settings.seed,
            scope = scope,
        )
    private val engines = settings.engines.associate { it.port to engine(it) }
    private val services = settings.services.associate { it.port to ServiceStandIn(it) }
    private val server = StandInServer(settings.host, admins().keys.toList(), ::register)

    /** Returns when all ports listen. */
    public fun start(): Unit = server.start()

    override fun close() {
        scope.cancel()
        server.close()
    }

    private fun register(routes: RoutesConfig) {
        log?.let { LogRoutes(calls, it).register(routes) }
        instanceList?.let { InstanceListRoutes(calls, it).register(routes) }
        weightStore?.let { WeightRoutes(calls, it).register(routes) }
        EngineRoutes(calls, engines).register(routes)
        ServiceRoutes(calls, services).register(routes)
        AdminRoutes(calls, admins()).register(routes)
    }

    private fun admins(): Map<Int, Admin<*, *>> =
        buildMap {
            log?.let { put(settings.log!!.port, it) }
            instanceList?.let { put(settings.instanceList!!.port, it) }
            weightStore?.let { put(settings.weightStore!!.port, it) }
            putAll(engines)
            putAll(services)
        }

    private fun engine(engine: EngineSettings): EngineStandIn {
        val url = engine.url.ifEmpty { "http://${settings.host}:${engine.port}" }
        return EngineStandIn(engine, url, surroundings).also(surroundings.directory::add)
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
}
