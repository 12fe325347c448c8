package io.knapweedferry.routing.ops

import io.javalin.Javalin
import io.javalin.config.JavalinConfig
import io.javalin.http.Context
import io.knapweedferry.routing.RoutedEntrySettings
import io.knapweedferry.routing.explain.ExplainHandler
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.thread.QueuedThreadPool

/** Serves readiness for the load balancer, metrics and explanations for operators and state for other entries, each on its own address. */
internal class OperationsServer(
    private val settings: RoutedEntrySettings,
    private val isReady: () -> Boolean,
    private val scrape: () -> String,
    private val peerState: () -> ByteArray?,
    private val explanations: ExplainHandler,
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
        listOf(settings.readinessAddress, settings.operationsAddress, settings.peerAddress).forEach { address ->
            config.jetty.addConnector { server, http ->
                ServerConnector(server, 1, 1, HttpConnectionFactory(http)).apply {
                    host = address.hostString
                    port = address.port
                }
            }
        }
        config.routes.get(settings.readinessPath) { it.status(if (isReady()) STATUS_OK else STATUS_UNAVAILABLE) }
        config.routes.get(settings.peerStatePath, ::servePeerState)
        config.routes.get("/metrics") { it.contentType(METRICS_TYPE).result(scrape()) }
        config.routes.get("/v1/explain", explanations::handle)
    }

    private fun servePeerState(ctx: Context) {
        val state = peerState()
        if (state == null) ctx.status(STATUS_UNAVAILABLE) else ctx.contentType("application/cbor").result(state)
    }

    private companion object {
        // Three connectors with one acceptor and one selector thread each, and a few concurrent requests.
        const val MAX_THREADS = 12
        const val MIN_THREADS = 7
        const val STATUS_OK = 200
        const val STATUS_UNAVAILABLE = 503
        const val METRICS_TYPE = "text/plain; version=0.0.4"
    }
}
