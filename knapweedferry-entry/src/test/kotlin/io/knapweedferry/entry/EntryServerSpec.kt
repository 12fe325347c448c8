package io.knapweedferry.entry

import io.javalin.http.Context
import io.knapweedferry.config.settings.HttpSettings
import io.knapweedferry.entry.http.CallerRequestReader
import io.knapweedferry.entry.http.RouteGroup
import io.knapweedferry.entry.http.UnexpectedErrorHandler
import io.knapweedferry.telemetry.EventLog
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList

/** Guards against callers who take the end of a response for its completion, or learn nothing, after an unexpected error in a handler. */
internal class EntryServerSpec {
    private val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
    private var server: EntryServer? = null
    private val lines = CopyOnWriteArrayList<String>()

    /** What a handler throws. */
    enum class Thrown(
        val error: () -> Throwable,
    ) {
        EXCEPTION({ IllegalArgumentException("a header must not contain this") }),
        CHECKED({ java.io.IOException("lost") }),
        ERROR({ StackOverflowError() }),
    }

    @AfterEach
    fun stop() {
        server?.stop()
    }

    private fun request(handler: (Context) -> Unit): String {
        val routes =
            RouteGroup { config ->
                config.routes.post("/x") {
                    CallerRequestReader.read(it)
                    handler(it)
                }
            }
        val errors = UnexpectedErrorHandler(EventLog(sink = { _, line -> lines += line }))
        server = EntryServer(HttpSettings("127.0.0.1:$port"), listOf(routes, errors), { true }, { false }, { "" }).also { it.start() }
        return Socket("127.0.0.1", port).use { socket ->
            socket.soTimeout = TIMEOUT_MS
            val head = "POST /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: r-1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
            socket.getOutputStream().write(head.encodeToByteArray())
            socket.getInputStream().readAllBytes().decodeToString()
        }
    }

    @ParameterizedTest
    @EnumSource(Thrown::class)
    fun `a request whose handling fails before its response begins gets problem details`(thrown: Thrown) {
        val response = request { throw thrown.error() }
        assertEquals("HTTP/1.1 500", response.take(12))
        assertTrue("application/problem+json" in response) { response }
        assertTrue("\"outcome\":\"unknown\"" in response && "\"request_id\":\"r-1\"" in response) { response }
        assertEquals(1, lines.count { it.startsWith("KF-0111") }) { "$lines" }
    }

    @ParameterizedTest
    @EnumSource(Thrown::class)
    fun `a stream whose handling fails does not look complete`(thrown: Thrown) {
        val response =
            request {
                it.res().contentType = "text/event-stream"
                it.res().outputStream.write("data: a\n\n".encodeToByteArray())
                it.res().outputStream.flush()
                throw thrown.error()
            }
        assertTrue("data: a\n\n" in response) { response }
        assertFalse(response.endsWith("0\r\n\r\n")) { response }
        assertFalse("Server Error" in response) { response }
    }

    private companion object {
        const val TIMEOUT_MS = 5_000
    }
}
