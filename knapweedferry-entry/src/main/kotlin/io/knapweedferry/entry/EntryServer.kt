package io.knapweedferry.entry

import io.javalin.Javalin
import io.javalin.http.Context
import io.knapweedferry.config.settings.HttpSettings
import io.knapweedferry.entry.http.ChatRoute
import io.knapweedferry.entry.http.ModelsRoute
import io.knapweedferry.entry.http.RouteGroup
import io.knapweedferry.entry.http.ServiceRoute
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.thread.QueuedThreadPool
import java.util.concurrent.TimeUnit

/** HTTP interface of an entry: callers, operators, health and metrics. */
internal class EntryServer(
    private val settings: HttpSettings,
    private val chat: ChatRoute,
    private val services: ServiceRoute,
    private val models: ModelsRoute,
    private val operator: RouteGroup,
    private val isReady: () -> Boolean,
    /** True once new requests are refused; responses then ask their callers to close the connection. */
    private val isStopping: () -> Boolean,
    private val scrape: () -> String,
) {
    private val connectors = mutableListOf<ServerConnector>()
    private val javalin = build()

    fun start() {
        javalin.start()
    }

    /** Refuses connections first, so that no request arrives at a server that can no longer answer it. */
    fun stop() {
        connectors.forEach { it.close() }
        val end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CONNECTIONS_END_MS)
        while (connectors.any { it.connectedEndPoints.isNotEmpty() } && System.nanoTime() < end) Thread.sleep(POLL_MS)
        javalin.stop()
    }

    private fun build(): Javalin =
        Javalin.create { config ->
            config.startup.showJavalinBanner = false
            config.http.maxRequestSize = settings.maxBodyBytes
            config.jetty.host = settings.address.substringBeforeLast(':')
            config.jetty.port = settings.address.substringAfterLast(':').toInt()
            // Each request keeps one thread until its answer is written; the extra threads serve operators and health.
            config.jetty.threadPool = QueuedThreadPool(settings.maxInFlight + EXTRA_THREADS, MIN_THREADS)
            config.jetty.modifyServer { server ->
                connectors += server.connectors.filterIsInstance<ServerConnector>()
                connectors.forEach { it.idleTimeout = settings.writeTimeoutMs }
            }
            config.routes.before { if (isStopping()) it.header("Connection", "close") }
            config.routes.post("/v1/chat/completions", chat)
            config.routes.post("/v1/services/{service}/{operation}", services)
            config.routes.get("/v1/models", models)
            config.routes.get("/health/live") { it.result("live") }
            config.routes.get("/health/ready", ::ready)
            config.routes.get("/metrics") { it.contentType(METRICS_TYPE).result(scrape()) }
            operator.register(config)
        }

    private fun ready(ctx: Context) {
        val ready = isReady()
        ctx.status(if (ready) STATUS_OK else STATUS_UNAVAILABLE).result(if (ready) "ready" else "not ready")
    }

    private companion object {
        const val EXTRA_THREADS = 16
        const val MIN_THREADS = 8

        /** Time for answers in progress to be written and for callers to close idle connections. */
        const val CONNECTIONS_END_MS = 1_000L
        const val POLL_MS = 10L
        const val STATUS_OK = 200
        const val STATUS_UNAVAILABLE = 503
        const val METRICS_TYPE = "text/plain; version=0.0.4"
    }
}
