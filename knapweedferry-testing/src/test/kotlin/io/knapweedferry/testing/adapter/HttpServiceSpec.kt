package io.knapweedferry.testing.adapter

import io.javalin.Javalin
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.http.HttpTransport
import io.knapweedferry.platform.service.HttpService
import io.knapweedferry.platform.service.ServiceOrder
import io.knapweedferry.testing.standin.service.ServiceLedger
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

/** Guards against a second execution of an operation that must not repeat, and against a false "not sent". */
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
        """'{"outage":"SILENT"}', 0, io.knapweedferry.platform.PlatformError${'$'}NoAnswer""",
        """'{"outage":"CUT"}', 0, io.knapweedferry.platform.PlatformError${'$'}NoAnswer""",
        """'{"outageAfterEffect":"SILENT"}', 1, io.knapweedferry.platform.PlatformError${'$'}NoAnswer""",
        """'{"outageAfterEffect":"CUT"}', 1, io.knapweedferry.platform.PlatformError${'$'}NoAnswer""",
    )
    fun `maps a fault and executes once at most`(
        faults: String,
        executions: Int,
        expected: Class<*>,
    ) = runBlocking<Unit> {
        fixture.faults("clerk", faults)
        assertInstanceOf(expected, service.call(order(timeoutMs = 500)).leftOrNull())
        assertEquals(executions, ledger().executionsByKey["key-1"] ?: 0)
    }

    @Test
    fun `passes replies through with their status`() =
        runBlocking<Unit> {
            assertEquals(200, service.call(order()).getOrNull()?.status)
            fixture.faults("clerk", """{"outage":"ERROR"}""")
            assertEquals(500, service.call(order()).getOrNull()?.status)
            assertEquals(1, ledger().executionsByRequestId["r1"])
        }

    @Test
    fun `a call without time left is not sent`() =
        runBlocking<Unit> {
            assertInstanceOf(PlatformError.NotSent::class.java, service.call(order(timeoutMs = 0)).leftOrNull())
            assertEquals(0, ledger().executions)
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
                    // Reads to the end of the stream, or times out.
                    withContext(Dispatchers.IO) { it.getInputStream().readBytes() }
                }
                assertTrue(call.isCancelled)
            }
        }

    @Test
    fun `a 503 that asks for an immediate retry is not repeated`() =
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
            assertInstanceOf(PlatformError.NoAnswer::class.java, error)
            assertEquals(1, arrived.get())
        }

    private fun ledger(): ServiceLedger = Json.decodeFromString(fixture.ledger("clerk"))

    private fun order(timeoutMs: Long = 5_000) = ServiceOrder("r1", "clerk", "stamp", "{}", "key-1", timeoutMs)
}
