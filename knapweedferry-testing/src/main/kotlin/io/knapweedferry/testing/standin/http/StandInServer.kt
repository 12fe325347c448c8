package io.knapweedferry.testing.standin.http

import io.javalin.Javalin
import io.javalin.compression.CompressionStrategy
import io.javalin.config.RoutesConfig
import jakarta.servlet.http.HttpServlet
import org.eclipse.jetty.ee10.servlet.ServletHolder
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.HttpConnectionFactory
import org.eclipse.jetty.server.Server
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.thread.QueuedThreadPool

/** HTTP server for all stand-ins of the process, with one listening port for each and a shared thread pool. */
internal class StandInServer(
    private val host: String,
    private val ports: Map<String, Int>,
    private val servlets: Map<String, HttpServlet>,
    private val register: (RoutesConfig) -> Unit,
) : AutoCloseable {
    private val javalin =
        Javalin.create { config ->
            config.startup.showJavalinBanner = false
            config.startup.showOldJavalinVersionWarning = false
            config.http.maxRequestSize = MAX_REQUEST_BYTES
            config.http.compressionStrategy = CompressionStrategy.NONE
            config.jetty.threadPool = QueuedThreadPool(ports.size * THREADS_PER_PORT + HANDLER_THREADS, HANDLER_THREADS)
            ports.forEach { (name, port) -> config.jetty.addConnector { server, http -> connector(server, http, name, port) } }
            config.jetty.modifyServletContextHandler { handler ->
                servlets.forEach { (path, servlet) -> handler.addServlet(ServletHolder(servlet).apply { isAsyncSupported = true }, path) }
            }
            register(config.routes)
        }

    fun start() {
        javalin.start()
    }

    /** Port of the stand-in [name], available after [start]; chosen by the system if the settings specify 0. */
    fun port(name: String): Int =
        javalin
            .jettyServer()
            .server()
            .connectors
            .filterIsInstance<ServerConnector>()
            .first { it.name == name }
            .localPort

    override fun close() {
        javalin.stop()
    }

    private fun connector(
        server: Server,
        http: HttpConfiguration,
        standIn: String,
        listenPort: Int,
    ) = ServerConnector(server, 0, 1, HttpConnectionFactory(http)).apply {
        // Request handlers look up the stand-in by the connector name.
        name = standIn
        host = this@StandInServer.host
        port = listenPort
        idleTimeout = IDLE_TIMEOUT_MS
    }

    private companion object {
        const val MAX_REQUEST_BYTES = 16L * 1024 * 1024
        const val HANDLER_THREADS = 16

        /** One selector, and one thread that may block in it. */
        const val THREADS_PER_PORT = 2

        /** Longer than the longest hang that a stand-in injects. */
        const val IDLE_TIMEOUT_MS = 600_000L
    }
}
