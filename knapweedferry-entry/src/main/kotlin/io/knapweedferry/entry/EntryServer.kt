package io.knapweedferry.entry

import io.javalin.Javalin
import io.javalin.http.Context
import io.knapweedferry.config.settings.HttpSettings
import io.knapweedferry.entry.http.RouteGroup
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.thread.QueuedThreadPool
import java.util.concurrent.TimeUnit

/** HTTP server of an entry, with routes for callers, operators, health checks and metrics. */
internal class EntryServer(
    private val settings: HttpSettings,
    private val routes: List<RouteGroup>,
    private val isReady: () -> Boolean,
    /** True once new requests are refused; responses then carry `Connection: close`. */
    private val isStopping: () -> Boolean,
    private val scrapeMetrics: () -> String,
) {
    private var connector: ServerConnector? = null
    private val javalin = build()

    fun start() {
        javalin.start()
    }

    /** Closes the listening socket first, so that no request arrives at a server that can no longer answer it. */
    fun stop() {
        connector?.close()
        val deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CONNECTION_CLOSE_TIMEOUT_MS)
        while (connector?.connectedEndPoints?.isNotEmpty() == true && System.nanoTime() < deadlineNanos) Thread.sleep(POLL_INTERVAL_MS)
        javalin.stop()
    }

    private fun build(): Javalin =
        Javalin.create { config ->
            config.startup.showJavalinBanner = false
            config.http.maxRequestSize = settings.maxBodyBytes
            // Each request blocks a thread until its answer is written; the extra threads serve operators and health checks.
            config.jetty.threadPool = QueuedThreadPool(settings.maxInFlight + EXTRA_THREADS, MIN_THREADS)
            config.jetty.addConnector { server, http -> createConnector(server, http) }
            config.routes.before { if (isStopping()) it.header("Connection", "close") }
            config.routes.get("/health/live") { it.result("live") }
            config.routes.get("/health/ready", ::reportReadiness)
            config.routes.get("/metrics") { it.contentType(METRICS_TYPE).result(scrapeMetrics()) }
            routes.forEach { it.register(config) }
        }

    /** The idle timeout also aborts a write to a caller that has stopped reading. */
    private fun createConnector(
        server: Server,
        http: HttpConfiguration,
    ): ServerConnector =
        ServerConnector(server, HttpConnectionFactory(http))
            .apply {
                host = settings.address.substringBeforeLast(':')
                port = settings.address.substringAfterLast(':').toInt()
                idleTimeout = settings.writeTimeoutMs
            }.also { connector = it }

    private fun reportReadiness(ctx: Context) {
        val ready = isReady()
        ctx.status(if (ready) STATUS_OK else STATUS_UNAVAILABLE).result(if (ready) "ready" else "not ready")
    }

    private companion object {
        const val EXTRA_THREADS = 16
        const val MIN_THREADS = 8

        /** Time for pending responses to be written and for callers to close idle connections. */
        const val CONNECTION_CLOSE_TIMEOUT_MS = 1_000L
        const val POLL_INTERVAL_MS = 10L
        const val STATUS_OK = 200
        const val STATUS_UNAVAILABLE = 503
        const val METRICS_TYPE = "text/plain; version=0.0.4"
    }
}
