package io.knapweedferry.testing.adapter

import arrow.core.Either
import io.knapweedferry.api.StreamName
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.log.HttpAppendLog
import io.knapweedferry.testing.fault.FaultProxy
import io.knapweedferry.testing.fault.RouteSettings
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.net.ServerSocket
import java.net.URI
import kotlin.time.TimeSource

/** Guards against an append that took effect being reported as not sent, and against silent retries of an append. */
internal class HttpAppendLogSpec {
    private val fixture =
        StandInsFixture(
            """
            [log]
            port = 0
            max_append_bytes = 100
            """.trimIndent(),
        )
    private val log = HttpAppendLog(fixture.transport, fixture.url("log"), timeoutMs = 300)
    private val stream = StreamName("claims-1")

    @AfterEach
    fun close() = fixture.close()

    @ParameterizedTest
    @CsvSource(
        "REFUSE, io.knapweedferry.platform.PlatformError\$NotSent",
        "ERROR, io.knapweedferry.platform.PlatformError\$NoResponse",
        "SILENT, io.knapweedferry.platform.PlatformError\$NoResponse",
        "CUT, io.knapweedferry.platform.PlatformError\$NoResponse",
    )
    fun `an outage maps to the expected error kind`(
        outage: String,
        expected: Class<*>,
    ) = runBlocking<Unit> {
        fixture.setFaults("log", """{"outage":"$outage"}""")
        assertInstanceOf(expected, log.append(stream, listOf("a")).leftOrNull())
        assertInstanceOf(expected, log.read(stream, 0).leftOrNull())
        fixture.setFaults("log", "{}")
        assertEquals(Either.Right(0L), log.append(stream, listOf("b")))
    }

    @Test
    fun `an append whose response is lost is stored once and reported as unanswered`() =
        runBlocking<Unit> {
            fixture.setFaults("log", """{"lostAnswerProbability":1.0}""")
            assertInstanceOf(PlatformError.NoResponse::class.java, log.append(stream, listOf("a", "b")).leftOrNull())
            val page = log.read(stream, 0).getOrNull()!!
            assertEquals(listOf(0L to "a", 1L to "b"), page.records.map { it.offset to it.payload })
        }

    @Test
    fun `a refused connection is reported as not sent`() =
        runBlocking<Unit> {
            val closedPort = ServerSocket(0).use { it.localPort }
            val unreachable = HttpAppendLog(fixture.transport, "http://127.0.0.1:$closedPort")
            assertInstanceOf(PlatformError.NotSent::class.java, unreachable.append(stream, listOf("a")).leftOrNull())
        }

    @Test
    fun `an append that the log refuses is reported with its status`() =
        runBlocking<Unit> {
            assertEquals(413, (log.append(stream, listOf("x".repeat(101))).leftOrNull() as PlatformError.Rejected).status)
        }

    @Test
    fun `a long poll ends with the next append`() =
        runBlocking<Unit> {
            val start = TimeSource.Monotonic.markNow()
            val reading = async { log.read(stream, 0, waitMs = LONG_POLL_MS) }
            log.append(stream, listOf("late"))
            val page = reading.await().getOrNull()!!
            assertEquals(listOf("late"), page.records.map { it.payload })
            assertTrue(start.elapsedNow().inWholeMilliseconds < LONG_POLL_MS)
        }

    @Test
    fun `no call is lost to a connection that became unresponsive after an earlier call`() =
        runBlocking<Unit> {
            val port = URI(fixture.url("log")).port
            FaultProxy(listOf(RouteSettings.parse("log=127.0.0.1:0=127.0.0.1:$port")), "127.0.0.1", 0, 1).use { proxy ->
                proxy.start()
                val proxied = HttpAppendLog(fixture.transport, "http://127.0.0.1:${proxy.port("log")}", timeoutMs = 300)
                List(4) { async { proxied.read(stream, 0, waitMs = 100) } }.awaitAll()
                fixture.post("http://127.0.0.1:${proxy.adminPort}/admin/routes/log/silence")
                assertEquals(Either.Right(0L), proxied.append(stream, listOf("a")))
                assertEquals(Either.Right(1L), proxied.append(stream, listOf("b")))
            }
        }

    private companion object {
        const val LONG_POLL_MS = 10_000L
    }
}
