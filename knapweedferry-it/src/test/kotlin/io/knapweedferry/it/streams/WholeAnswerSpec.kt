package io.knapweedferry.it.streams

import io.knapweedferry.it.streams.ChatResult.End
import okhttp3.Call
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.TestInstance.Lifecycle
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/**
 * Guards against answers that reach the wrong caller, end early without an error, or contain a token twice when links,
 * entries and engines fail.
 */
@TestInstance(Lifecycle.PER_CLASS)
internal class WholeAnswerSpec {
    private lateinit var fixture: StreamFixture

    @BeforeAll
    fun start(
        @TempDir folder: Path,
    ) {
        println("seed $SEED")
        fixture = StreamFixture(folder, StreamFixture.plan(SEED))
    }

    @AfterAll
    fun stop() = fixture.close()

    @Test
    fun `each caller gets its own complete answer or an error while links fail`() {
        val remaining = AtomicInteger(REQUESTS)
        val pool = Executors.newFixedThreadPool(CALLERS)
        val callers =
            List(CALLERS) {
                pool.submit(
                    Callable {
                        val results = mutableListOf<Pair<ChatRequest, ChatResult>>()
                        while (true) {
                            val number = remaining.getAndDecrement()
                            if (number <= 0) break
                            val chat = ChatRequest("links-$number", 10 + number % 50, stream = number % 3 != 0)
                            results += chat to fixture.client.send(fixture.url(number % 2), chat)
                        }
                        results
                    },
                )
            }
        val random = Random(SEED)
        while (remaining.get() > 0) injectLinkFault(random)
        val results = callers.flatMap { it.get() }
        pool.shutdown()
        println("seed $SEED: ${results.groupingBy { it.second.end }.eachCount()}")
        assertEquals(emptyList<String>(), results.mapNotNull { (chat, result) -> result.violation(chat) })
        assertTrue(results.count { it.second.end == End.WHOLE } > REQUESTS / 2) { "at most half of the answers were complete" }
    }

    @Test
    fun `a client resumes through the other entry after the first was killed`() {
        val chat = ChatRequest("resumed", 300)
        val killEntry = { count: Int, _: Call -> if (count == KILL_AT_TOKEN) fixture.deployment.entries[0].kill() }
        val first = fixture.client.send(fixture.url(0), chat, onToken = killEntry)
        val second = fixture.client.send(fixture.url(1), chat, first.lastEventId)
        fixture.deployment.entries[0].start()
        fixture.deployment.awaitReady(0)
        assertEquals(End.CONNECTION_BROKEN, first.end)
        assertNull(second.violation(chat, first.texts))
        assertEquals(End.WHOLE, second.end, second.detail)
    }

    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = ["sidecar killed", "engine crashed", "engine stalled"])
    fun `a decode sidecar or engine failure leads to a complete answer or an error`(fault: String) {
        val chats = List(CHATS_PER_FAULT) { ChatRequest("${fault.replace(' ', '-')}-$it", 150, stream = it % 2 == 0) }
        val pool = Executors.newFixedThreadPool(CHATS_PER_FAULT)
        val answers = chats.map { chat -> pool.submit(Callable { fixture.client.send(fixture.url(1), chat) }) }
        val failedEngine = fixture.decodeEngineOf(fault.replace(' ', '-'))
        when (fault) {
            "sidecar killed" ->
                fixture.deployment.sidecars
                    .getValue(failedEngine)
                    .run { kill().also { start() } }
            "engine crashed" -> fixture.admin(failedEngine, "crash")
            else -> fixture.deployment.setStandInFaults(failedEngine, """{"decodeStalled":true,"transferStalled":true}""")
        }
        if (fault == "engine stalled") {
            Thread.sleep(STALL_MS)
            fixture.deployment.setStandInFaults(failedEngine, "{}")
        }
        val results = answers.map { it.get() }
        pool.shutdown()
        println("seed $SEED: $fault: ${results.groupingBy { it.end }.eachCount()}")
        assertEquals(emptyList<String>(), chats.zip(results).mapNotNull { (chat, result) -> result.violation(chat) })
    }

    /** Injects a random fault on a random link for a random time, then heals it and pauses. */
    private fun injectLinkFault(random: Random) {
        val link = StreamFixture.ENGINES.random(random)
        val direction = listOf("TO_TARGET", "TO_CLIENT", "BOTH").random(random)
        when (random.nextInt(3)) {
            0 -> fixture.deployment.injectNetworkFault(link, "cut", """{"existing":true,"new":false}""")
            1 -> fixture.deployment.injectNetworkFault(link, "delay", """{"ms":60,"jitterMs":40,"direction":"$direction"}""")
            else ->
                fixture.deployment.injectNetworkFault(
                    link,
                    "silence",
                    """{"direction":"$direction","existing":true,"fraction":1.0,"new":false}""",
                )
        }
        Thread.sleep(random.nextLong(MIN_PHASE_MS, MAX_PHASE_MS))
        fixture.deployment.injectNetworkFault(link, "heal")
        Thread.sleep(random.nextLong(MIN_PHASE_MS, MAX_PHASE_MS))
    }

    private companion object {
        const val SEED = 20_261L
        const val REQUESTS = 240
        const val CALLERS = 24
        const val KILL_AT_TOKEN = 40
        const val CHATS_PER_FAULT = 8
        const val STALL_MS = 1_000L
        const val MIN_PHASE_MS = 50L
        const val MAX_PHASE_MS = 300L
    }
}
