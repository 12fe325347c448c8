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

/** Guards against a stream that waits on a connection that has gone silent while new connections work. */
@TestInstance(Lifecycle.PER_CLASS)
internal class SilentLinkSpec {
    private lateinit var bed: StreamBed

    @BeforeAll
    fun start(
        @TempDir folder: Path,
    ) {
        bed = StreamBed(folder)
    }

    @AfterAll
    fun stop() = bed.close()

    @ParameterizedTest(name = "silent {0}")
    @ValueSource(strings = ["TO_CLIENT", "TO_TARGET", "BOTH"])
    fun `a stream goes on over a new session within the heartbeat timeout`(direction: String) {
        val job = ChatJob("silent-$direction", TOKENS)
        val lastTokenAt = AtomicLong(System.nanoTime())
        val longestGap = AtomicLong()
        val streaming = CountDownLatch(SILENT_AFTER)
        val pool = Executors.newSingleThreadExecutor()
        val answer =
            pool.submit(
                Callable {
                    bed.caller.ask(bed.url(0), job, onToken = { count, _ ->
                        val now = System.nanoTime()
                        if (count > 1) longestGap.accumulateAndGet(now - lastTokenAt.get(), ::maxOf)
                        lastTokenAt.set(now)
                        streaming.countDown()
                    })
                },
            )
        val engine = bed.decoderOf(job.requestId)
        streaming.await(WAIT_SECONDS, TimeUnit.SECONDS)
        val body = """{"direction":"$direction","existing":true,"fraction":1.0,"new":false}"""
        bed.deployment.linkFault(engine, "silence", body)
        val result = answer.get()
        pool.shutdown()
        bed.deployment.linkFault(engine, "heal")
        val gapMs = longestGap.get() / NANOS_PER_MS
        println("silent $direction: longest gap between tokens $gapMs ms, heartbeat timeout ${StreamBed.HEARTBEAT_TIMEOUT_MS} ms")
        assertNull(result.fault(job))
        assertEquals(End.WHOLE, result.end, result.detail)
        assertTrue(gapMs < StreamBed.HEARTBEAT_TIMEOUT_MS + RECONNECT_MS) { "a gap of $gapMs ms" }
    }

    private companion object {
        const val TOKENS = 250
        const val SILENT_AFTER = 30
        const val WAIT_SECONDS = 10L

        /** Handshake, attach and scheduling on a busy machine. */
        const val RECONNECT_MS = 500L
        const val NANOS_PER_MS = 1_000_000L
    }
}
