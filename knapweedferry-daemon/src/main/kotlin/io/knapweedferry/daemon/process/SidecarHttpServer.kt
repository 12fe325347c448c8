package io.knapweedferry.daemon.process

import io.javalin.Javalin

/** HTTP server for the health checks and metrics of a sidecar. Optional, because it takes memory on the instance. */
internal class SidecarHttpServer(
    private val address: String,
    private val isReady: () -> Boolean,
    private val scrapeMetrics: () -> String,
) {
    private val javalin by lazy {
        Javalin.create { config ->
            config.startup.showJavalinBanner = false
            config.jetty.host = address.substringBeforeLast(':')
            config.jetty.port = address.substringAfterLast(':').toInt()
            config.routes.get("/health/live") { it.result("live") }
            config.routes.get("/health/ready") { ctx ->
                val ready = isReady()
                ctx.status(if (ready) STATUS_OK else STATUS_UNAVAILABLE).result(if (ready) "ready" else "not ready")
            }
            config.routes.get("/metrics") { it.contentType("text/plain; version=0.0.4").result(scrapeMetrics()) }
        }
    }

    fun start() {
        javalin.start()
    }

    fun stop() {
        javalin.stop()
    }

    private companion object {
        const val STATUS_OK = 200
        const val STATUS_UNAVAILABLE = 503
    }
}
