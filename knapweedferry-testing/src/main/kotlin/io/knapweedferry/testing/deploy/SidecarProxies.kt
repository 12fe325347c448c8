package io.knapweedferry.testing.deploy

import io.knapweedferry.testing.fault.FaultProxy
import io.knapweedferry.testing.fault.RouteSettings
import kotlinx.coroutines.runBlocking

/** Fault proxy with one route for each sidecar of a deployment. */
internal class SidecarProxies(
    layout: DeploymentLayout,
    seed: Long,
) : AutoCloseable {
    private val routes = layout.endpointNames.map { RouteSettings.parse("$it=$HOST:0=${layout.sidecarAddress(it)}") }
    private val proxy = FaultProxy(routes, HOST, adminPort = 0, seed).also { runBlocking { it.start() } }

    val adminUrl: String get() = "http://$HOST:${proxy.adminPort}"

    fun address(endpoint: String): String = "$HOST:${proxy.port(endpoint)}"

    override fun close() {
        proxy.close()
    }

    private companion object {
        const val HOST = "127.0.0.1"
    }
}
