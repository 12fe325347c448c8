package io.knapweedferry.it.streams

import io.knapweedferry.it.KNOWN_RED
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.TestInstance.Lifecycle
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import java.util.concurrent.Executors

/** Guards against engine memory that stays allocated after the client disconnects or a process or link on its path fails. */
@TestInstance(Lifecycle.PER_CLASS)
internal class MemoryFreedSpec {
    private lateinit var fixture: StreamFixture
    private val pool = Executors.newCachedThreadPool()

    @BeforeAll
    fun start(
        @TempDir folder: Path,
    ) {
        fixture = StreamFixture(folder)
    }

    @AfterAll
    fun stop() {
        pool.shutdown()
        fixture.close()
    }

    @BeforeEach
    fun awaitIdleEngines() {
        fixture.await("engines are idle", WAIT_LIMIT_MS) { fixture.heldIdsByEngine().isEmpty() }
    }

    @Test
    fun `engine memory is freed when the caller disconnects during decode`(): Unit = closeDuringDecode(stream = true)

    @Test
    fun `engine memory is freed when the caller of a non-streamed answer disconnects during decode`(): Unit =
        closeDuringDecode(stream = false)

    private fun closeDuringDecode(stream: Boolean) {
        val chat = ChatRequest("decode-$stream", ANSWER_TOKENS, stream)
        val call = fixture.client.call(fixture.url(0), chat)
        pool.submit { runCatching { call.execute().use { it.body.string() } } }
        fixture.decodeEngineOf(chat.requestId)
        call.cancel()
        assertMemoryReleased("closed during decode, stream $stream", chat.requestId)
    }

    @Test
    fun `engine memory is freed when a client disconnects during prefill`() {
        val chat = ChatRequest("prefill", ANSWER_TOKENS, filler = "pattern ".repeat(PREFILL_PROMPT_WORDS))
        val call = fixture.client.call(fixture.url(0), chat)
        pool.submit { runCatching { call.execute().use { it.body.string() } } }
        fixture.await("the prefill engine holds ${chat.requestId}", WAIT_LIMIT_MS) {
            fixture.heldIds("prefill-1").any { chat.requestId in it }
        }
        call.cancel()
        assertMemoryReleased("closed during prefill", chat.requestId)
    }

    @Tag(KNOWN_RED)
    @Test
    fun `callers who close the connection while queued`() {
        val calls = List(QUEUED_CALLERS) { fixture.client.call(fixture.url(it % 2), ChatRequest("queued-$it", ANSWER_TOKENS)) }
        calls.forEach { call -> pool.submit { runCatching { call.execute().use { it.body.string() } } } }
        fixture.await("both decode engines are full", WAIT_LIMIT_MS) {
            StreamFixture.DECODE_ENGINES.all { fixture.heldIds(it).size >= FULL_ENGINE_REQUESTS }
        }
        calls.forEach { it.cancel() }
        assertMemoryReleased("closed while queued", "queued-")
    }

    @Test
    fun `engine memory is freed when the entry is killed`() {
        val chat = ChatRequest("entry-killed", ANSWER_TOKENS)
        pool.submit { fixture.client.send(fixture.url(0), chat) }
        fixture.decodeEngineOf(chat.requestId)
        fixture.deployment.entries[0].kill()
        assertMemoryReleased("entry killed", chat.requestId)
        fixture.deployment.entries[0].start()
        fixture.deployment.awaitReady(0)
    }

    @Test
    fun `engine memory is freed when the sidecar is killed and the client disconnects`() {
        val chat = ChatRequest("sidecar-killed", ANSWER_TOKENS)
        val call = fixture.client.call(fixture.url(0), chat)
        pool.submit { runCatching { call.execute().use { it.body.string() } } }
        val sidecar = fixture.deployment.sidecars.getValue(fixture.decodeEngineOf(chat.requestId))
        sidecar.kill()
        call.cancel()
        sidecar.start()
        // The release limit excludes the JVM start of the replacement.
        fixture.await("the restarted sidecar is listening", WAIT_LIMIT_MS) { sidecar.logText().split(LISTENING_EVENT).size > 2 }
        assertMemoryReleased("sidecar killed", chat.requestId)
    }

    @Test
    fun `engine memory is freed when the link stops forwarding data and the client disconnects`() {
        val chat = ChatRequest("link-silent", ANSWER_TOKENS)
        val call = fixture.client.call(fixture.url(0), chat)
        pool.submit { runCatching { call.execute().use { it.body.string() } } }
        val engine = fixture.decodeEngineOf(chat.requestId)
        fixture.deployment.injectNetworkFault(engine, "silence", """{"direction":"BOTH","existing":true,"fraction":1.0,"new":true}""")
        call.cancel()
        try {
            assertMemoryReleased("link silent", chat.requestId)
        } finally {
            fixture.deployment.injectNetworkFault(engine, "heal")
        }
    }

    private fun assertMemoryReleased(
        scenario: String,
        requestId: String,
    ) {
        val tookMs =
            fixture.await("memory of $requestId is released", StreamFixture.RELEASE_LIMIT_MS) {
                fixture
                    .heldIdsByEngine()
                    .values
                    .flatten()
                    .none { requestId in it }
            }
        println("$scenario: memory released after $tookMs ms, limit ${StreamFixture.RELEASE_LIMIT_MS} ms")
        assertEquals(listOf(0, 0), StreamFixture.DECODE_ENGINES.map(fixture::usedKvBlocks))
    }

    private companion object {
        const val ANSWER_TOKENS = 1_500
        const val PREFILL_PROMPT_WORDS = 8_000
        const val QUEUED_CALLERS = 60
        const val FULL_ENGINE_REQUESTS = 18
        const val WAIT_LIMIT_MS = 20_000L
        const val LISTENING_EVENT = "process is listening"
    }
}
