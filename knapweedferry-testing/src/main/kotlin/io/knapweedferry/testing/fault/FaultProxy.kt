package io.knapweedferry.testing.fault

import io.knapweedferry.testing.standin.http.RequestHandler
import io.knapweedferry.testing.standin.http.StandInServer
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel

/** TCP proxy that injects network faults, controlled over an HTTP admin port. */
internal class FaultProxy(
    routes: List<RouteSettings>,
    adminHost: String,
    adminPort: Int,
    seed: Long,
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val selector = SelectorManager(Dispatchers.IO)
    private val routes = routes.associate { it.name to ProxyRoute(it, selector, scope, seed) }
    private val admin =
        StandInServer(adminHost, mapOf(ADMIN to adminPort), emptyMap()) { FaultRoutes(RequestHandler(scope), this.routes).register(it) }

    val adminPort: Int get() = admin.port(ADMIN)

    /** Opens all ports; returns once they accept connections. */
    suspend fun start() {
        routes.values.forEach { it.listen() }
        admin.start()
    }

    /** Listening port of a route. */
    fun port(route: String): Int = routes.getValue(route).port

    override fun close() {
        admin.close()
        scope.cancel()
        selector.close()
    }

    private companion object {
        const val ADMIN = "admin"
    }
}
