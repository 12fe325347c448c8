package io.knapweedferry.testing.adapter

import arrow.core.Either
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.engine.EngineCommand
import io.knapweedferry.platform.engine.EngineEvent
import io.knapweedferry.platform.engine.EngineRequestId
import io.knapweedferry.platform.engine.GenerateRequest
import io.knapweedferry.platform.engine.HttpEngine
import io.knapweedferry.platform.engine.PrefillRequest
import io.knapweedferry.platform.http.HttpTransport
import io.knapweedferry.platform.http.HttpTransportSettings
import io.knapweedferry.testing.standin.StandInAnswer
import io.knapweedferry.testing.standin.engine.EngineStatistics
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.onEach
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** Guards against an engine adapter that loses, repeats or mixes up tokens, or reports the wrong kind of error. */
internal class HttpEngineSpec {
    private val fixture =
        StandInsFixture(
            """
            [time_scale]
            base_token_ms = 2.0
            token_ms_per_stream = 0.05
            export_ttl_ms = 400

            [[engines]]
            name = "prefill"
            port = 0
            model = "fleet"

            [[engines]]
            name = "decode"
            port = 0
            model = "fleet"
            """.trimIndent(),
        )
    private val prefill = HttpEngine(fixture.transport, fixture.url("prefill"))
    private val decode = HttpEngine(fixture.transport, fixture.url("decode"))

    @AfterEach
    fun close() = fixture.close()

    @Test
    fun `prefill, import and generate return the whole answer without a second prefill`() =
        runBlocking<Unit> {
            val source = prefill.prefill(prefillOrder("p")).getOrNull()!!.source
            assertEquals(Either.Right(Unit), decode.importKv(id("d"), source, 1_000))
            assertWhole(decode.generate(generateOrder("d")).toList())
            assertEquals(0, statistics("decode").counters.prefilledTokens)
            assertEquals(emptyList<String>(), statistics("decode").held)
        }

    @Test
    fun `hundreds of concurrent streams each get their own answer`() =
        runBlocking<Unit> {
            val prompts = List(STREAMS) { "history $it of a jacket [[answer=30]]" }
            val answers =
                prompts
                    .mapIndexed { index, prompt ->
                        val engine = if (index % 2 == 0) prefill else decode
                        async { engine.generate(generateOrder("s$index", prompt)).toList() }
                    }.awaitAll()
            answers.forEachIndexed { index, events -> assertWhole(events, prompts[index]) }
        }

    @Test
    fun `an evicted export is rejected`() =
        runBlocking<Unit> {
            val source = prefill.prefill(prefillOrder("p")).getOrNull()!!.source
            eventually { statistics("prefill").counters.wastedPrefills == 1L }
            assertEquals(410, (decode.importKv(id("d"), source, 1_000).leftOrNull() as PlatformError.Rejected).status)
        }

    @Test
    fun `a stream resumes from a position on another engine`() =
        runBlocking<Unit> {
            val events = decode.generate(generateOrder("d").copy(fromPosition = 25)).toList()
            assertEquals(EngineEvent.Token(25, StandInAnswer(PROMPT, 100).text(25)), events.first())
            assertEquals(EngineEvent.Finished(40, "stop"), events.last())
        }

    @Test
    fun `a stream in progress moves to a new connection without losing a token`() =
        runBlocking<Unit> {
            val first = async { decode.generate(generateOrder("d", LONG_PROMPT)).toList() }
            eventually { statistics("decode").counters.generatedTokens > 5 }
            assertWhole(decode.generate(generateOrder("d", LONG_PROMPT)).toList(), LONG_PROMPT)
            assertInstanceOf(EngineEvent.Broken::class.java, first.await().last())
        }

    @Test
    fun `stopping collection closes the connection, and cancel frees the stream in the engine`() =
        runBlocking<Unit> {
            decode.generate(generateOrder("d", LONG_PROMPT)).first()
            eventually { statistics("decode").counters.brokenConnections == 1L }
            assertEquals(listOf(id("d")), decode.occupyingRequests().getOrNull())
            assertEquals(Unit, decode.cancel(id("d")).getOrNull())
            assertEquals(emptyList<EngineRequestId>(), decode.occupyingRequests().getOrNull())
        }

    @ParameterizedTest
    @CsvSource(
        "decode, '{\"outage\":\"REFUSE\"}', io.knapweedferry.platform.PlatformError\$NotSent",
        "decode, '{\"outage\":\"ERROR\"}', io.knapweedferry.platform.PlatformError\$NoResponse",
        "decode, '{\"outage\":\"CUT\"}', io.knapweedferry.platform.PlatformError\$NoResponse",
    )
    fun `an outage maps to the expected error kind`(
        engine: String,
        faults: String,
        expected: Class<*>,
    ) = runBlocking<Unit> {
        fixture.setFaults(engine, faults)
        assertInstanceOf(expected, (decode.generate(generateOrder("d")).toList().single() as EngineEvent.Broken).error)
        assertInstanceOf(expected, decode.cancel(id("d")).leftOrNull())
    }

    @Test
    fun `an engine crash breaks its streams and discards all requests`() =
        runBlocking<Unit> {
            val events =
                decode
                    .generate(generateOrder("d", LONG_PROMPT))
                    .onEach { if (it is EngineEvent.Token && it.position == 3) fixture.post("${fixture.url("decode")}/admin/crash") }
                    .toList()
            assertInstanceOf(PlatformError.NoResponse::class.java, (events.last() as EngineEvent.Broken).error)
            assertEquals(emptyList<EngineRequestId>(), decode.occupyingRequests().getOrNull())
        }

    @Test
    fun `a stalled stream ends as unanswered after the idle timeout`() =
        runBlocking<Unit> {
            fixture.setFaults("decode", """{"decodeStalled":true}""")
            HttpTransport(HttpTransportSettings(streamIdleTimeoutMs = 200)).use { transport ->
                val engine = HttpEngine(transport, fixture.url("decode"))
                val last = engine.generate(generateOrder("d")).toList().single() as EngineEvent.Broken
                assertInstanceOf(PlatformError.NoResponse::class.java, last.error)
            }
        }

    @Test
    fun `a prompt that exceeds the engine memory is rejected`() =
        runBlocking<Unit> {
            val error = prefill.prefill(prefillOrder("p").copy(prompt = "x".repeat(1_000_000))).leftOrNull()
            assertEquals(413, (error as PlatformError.Rejected).status)
        }

    @Test
    fun `an order with an outdated fencing number and a request for another model are rejected`() =
        runBlocking<Unit> {
            val order = EngineCommand("fleet", "1", null, "decode", fencing = 7, incarnation = "i")
            assertEquals(Unit, decode.control(order).getOrNull())
            assertEquals(409, (decode.control(order.copy(fencing = 6)).leftOrNull() as PlatformError.Rejected).status)
            val wrongModel = decode.generate(generateOrder("d").copy(model = "other")).toList().single() as EngineEvent.Broken
            assertEquals(409, (wrongModel.error as PlatformError.Rejected).status)
        }

    private fun assertWhole(
        events: List<EngineEvent>,
        prompt: String = PROMPT,
    ) {
        val answer = StandInAnswer(prompt, MAX_TOKENS)
        val tokens = answer.texts().mapIndexed { position, text -> EngineEvent.Token(position, text) }
        assertEquals(tokens + EngineEvent.Finished(answer.length, answer.finishReason), events)
    }

    private suspend fun eventually(condition: () -> Boolean) = withTimeout(10_000) { while (!condition()) delay(5) }

    private fun statistics(name: String): EngineStatistics = Json.decodeFromString(fixture.statistics(name))

    private fun id(value: String) = EngineRequestId(value)

    private fun prefillOrder(id: String) = PrefillRequest(id(id), "fleet", PROMPT, 0, 1_000)

    private fun generateOrder(
        id: String,
        prompt: String = PROMPT,
    ) = GenerateRequest(id(id), "fleet", prompt, MAX_TOKENS, 0, 0)

    private companion object {
        const val PROMPT = "liner survey [[answer=40]]"
        const val LONG_PROMPT = "fleet review [[answer=1000]]"
        const val MAX_TOKENS = 1_000
        const val STREAMS = 300
    }
}
