package io.knapweedferry.testing.adapter

import io.javalin.Javalin
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.http.HttpTransport
import io.knapweedferry.platform.service.HttpService
import io.knapweedferry.platform.service.ServiceRequest
import io.knapweedferry.testing.standin.service.ServiceStatistics
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

/** Guards against a non-repeatable operation that is executed twice, and against executed calls reported as not sent. */
internal class HttpServiceSpec {
    private val fixture =
        StandInsFixture(
            """
            [[services]]
            name = "clerk"
            port = 0
            """.trimIndent(),
        )
    private val service = HttpService(fixture.transport, fixture.url("clerk"))

    @AfterEach
    fun close() = fixture.close()

    @ParameterizedTest
    @CsvSource(
        """'{"outage":"REFUSE"}', 0, io.knapweedferry.platform.PlatformError${'$'}NotSent""",
        """'{"outage":"SILENT"}', 0, io.knapweedferry.platform.PlatformError${'$'}NoResponse""",
        """'{"outage":"CUT"}', 0, io.knapweedferry.platform.PlatformError${'$'}NoResponse""",
        """'{"outageAfterEffect":"SILENT"}', 1, io.knapweedferry.platform.PlatformError${'$'}NoResponse""",
        """'{"outageAfterEffect":"CUT"}', 1, io.knapweedferry.platform.PlatformError${'$'}NoResponse""",
    )
    fun `a fault maps to the expected error kind, and the call is executed at most once`(
        faults: String,
        executions: Int,
        expected: Class<*>,
    ) = runBlocking<Unit> {
        fixture.setFaults("clerk", faults)
        assertInstanceOf(expected, service.call(order(timeoutMs = 500)).leftOrNull())
        assertEquals(executions, statistics().executionsByKey["key-1"] ?: 0)
    }

    @Test
    fun `responses are passed through with their status`() =
        runBlocking<Unit> {
            assertEquals(200, service.call(order()).getOrNull()?.status)
            fixture.setFaults("clerk", """{"outage":"ERROR"}""")
            assertEquals(500, service.call(order()).getOrNull()?.status)
            assertEquals(1, statistics().executionsByRequestId["r1"])
        }

    @Test
    fun `a call whose deadline has passed is not sent`() =
        runBlocking<Unit> {
            assertInstanceOf(PlatformError.NotSent::class.java, service.call(order(timeoutMs = 0)).leftOrNull())
            assertEquals(0, statistics().executions)
        }

    @Test
    fun `cancelling the coroutine closes the connection`() =
        runBlocking<Unit> {
            ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { server ->
                val silent = HttpService(fixture.transport, "http://127.0.0.1:${server.localPort}")
                val call = async { silent.call(order(timeoutMs = 60_000)) }
                val connection = withContext(Dispatchers.IO) { server.accept().apply { soTimeout = 5_000 } }
                connection.use {
                    withContext(Dispatchers.IO) { it.getInputStream().read() }
                    call.cancelAndJoin()
                    // Returns at the end of the stream; fails with a timeout if the connection stays open.
                    withContext(Dispatchers.IO) { it.getInputStream().readBytes() }
                }
                assertTrue(call.isCancelled)
            }
        }

    @Test
    fun `a 503 response with Retry-After 0 is not retried`() =
        runBlocking<Unit> {
            val arrived = AtomicInteger()
            val server =
                Javalin.create { config ->
                    config.startup.showJavalinBanner = false
                    config.routes.post("/services/clerk/operations/stamp") { context ->
                        arrived.incrementAndGet()
                        context.status(503).header("Retry-After", "0")
                    }
                }
            server.start("127.0.0.1", 0)
            val transport = HttpTransport()
            val error = HttpService(transport, "http://127.0.0.1:${server.port()}").call(order()).leftOrNull()
            transport.close()
            server.stop()
            assertInstanceOf(PlatformError.NoResponse::class.java, error)
            assertEquals(1, arrived.get())
        }

    private fun statistics(): ServiceStatistics = Json.decodeFromString(fixture.statistics("clerk"))

    private fun order(timeoutMs: Long = 5_000) = ServiceRequest("r1", "clerk", "stamp", "{}", "key-1", timeoutMs)
}
