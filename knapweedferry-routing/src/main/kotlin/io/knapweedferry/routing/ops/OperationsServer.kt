package io.knapweedferry.routing.ops

import io.javalin.Javalin
import io.javalin.config.JavalinConfig
import io.knapweedferry.routing.RoutedEntrySettings
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.thread.QueuedThreadPool

/** Readiness for the load balancer and metrics for operators, each on its own address. */
internal class OperationsServer(
    private val settings: RoutedEntrySettings,
    private val isReady: () -> Boolean,
    private val scrape: () -> String,
) {
    private val threads = QueuedThreadPool(MAX_THREADS, MIN_THREADS)
    private val javalin = Javalin.create(::configure)

    fun start() {
        javalin.start()
    }

    fun stop() {
        javalin.stop()
    }

    private fun configure(config: JavalinConfig) {
        config.startup.showJavalinBanner = false
        config.jetty.threadPool = threads
        listOf(settings.readinessAddress, settings.operationsAddress).forEach { address ->
            config.jetty.addConnector { server, http ->
                ServerConnector(server, 1, 1, HttpConnectionFactory(http)).apply {
                    host = address.hostString
                    port = address.port
                }
            }
        }
        config.routes.get(settings.readinessPath) { it.status(if (isReady()) STATUS_OK else STATUS_UNAVAILABLE) }
        config.routes.get("/metrics") { it.contentType(METRICS_TYPE).result(scrape()) }
    }

    private companion object {
        // Two connectors with an acceptor and a selector each, and a few requests at a time.
        const val MAX_THREADS = 10
        const val MIN_THREADS = 5
        const val STATUS_OK = 200
        const val STATUS_UNAVAILABLE = 503
        const val METRICS_TYPE = "text/plain; version=0.0.4"
    }
}
