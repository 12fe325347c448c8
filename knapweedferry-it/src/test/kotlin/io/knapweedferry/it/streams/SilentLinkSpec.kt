package io.knapweedferry.it.streams

import io.knapweedferry.it.streams.ChatResult.End
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.TestInstance.Lifecycle
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.CountDownLatch
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/** Guards against a stream that hangs on an unresponsive connection while new connections work. */
@TestInstance(Lifecycle.PER_CLASS)
internal class SilentLinkSpec {
    private lateinit var fixture: StreamFixture

    @BeforeAll
    fun start(
        @TempDir folder: Path,
    ) {
        fixture = StreamFixture(folder)
    }

    @AfterAll
    fun stop() = fixture.close()

    @ParameterizedTest(name = "silent {0}")
    @ValueSource(strings = ["TO_CLIENT", "TO_TARGET", "BOTH"])
    fun `a stream resumes over a new session within the heartbeat timeout`(direction: String) {
        val chat = ChatRequest("silent-$direction", TOKENS)
        val lastTokenAt = AtomicLong(System.nanoTime())
        val longestGap = AtomicLong()
        val firstTokens = CountDownLatch(SILENT_AFTER_TOKENS)
        val pool = Executors.newSingleThreadExecutor()
        val answer =
            pool.submit(
                Callable {
                    fixture.client.send(fixture.url(0), chat, onToken = { count, _ ->
                        val now = System.nanoTime()
                        if (count > 1) longestGap.accumulateAndGet(now - lastTokenAt.get(), ::maxOf)
                        lastTokenAt.set(now)
                        firstTokens.countDown()
                    })
                },
            )
        val engine = fixture.decodeEngineOf(chat.requestId)
        firstTokens.await(WAIT_SECONDS, TimeUnit.SECONDS)
        val body = """{"direction":"$direction","existing":true,"fraction":1.0,"new":false}"""
        fixture.deployment.injectNetworkFault(engine, "silence", body)
        val result = answer.get()
        pool.shutdown()
        fixture.deployment.injectNetworkFault(engine, "heal")
        val gapMs = longestGap.get() / NANOS_PER_MS
        println("silent $direction: longest gap between tokens $gapMs ms, heartbeat timeout ${StreamFixture.HEARTBEAT_TIMEOUT_MS} ms")
        assertNull(result.violation(chat))
        assertEquals(End.WHOLE, result.end, result.detail)
        assertTrue(gapMs < StreamFixture.HEARTBEAT_TIMEOUT_MS + RECONNECT_ALLOWANCE_MS) { "the longest gap between tokens was $gapMs ms" }
    }

    private companion object {
        const val TOKENS = 250
        const val SILENT_AFTER_TOKENS = 30
        const val WAIT_SECONDS = 10L

        /** Allowance for the handshake, the attach and scheduling delays on a busy machine. */
        const val RECONNECT_ALLOWANCE_MS = 500L
        const val NANOS_PER_MS = 1_000_000L
    }
}
