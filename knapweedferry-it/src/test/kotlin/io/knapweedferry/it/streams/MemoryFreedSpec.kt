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

/** Guards against engine memory that stays held for a caller who is gone, whichever process or link took it away (H1). */
@TestInstance(Lifecycle.PER_CLASS)
internal class MemoryFreedSpec {
    private lateinit var bed: StreamBed
    private val pool = Executors.newCachedThreadPool()

    @BeforeAll
    fun start(
        @TempDir folder: Path,
    ) {
        bed = StreamBed(folder)
    }

    @AfterAll
    fun stop() {
        pool.shutdown()
        bed.close()
    }

    @BeforeEach
    fun nothingIsHeld() {
        bed.await("engines are idle", IDLE_MS) { bed.heldAnywhere().isEmpty() }
    }

    @Test
    fun `a caller who closes the connection during decode`(): Unit = closesDuringDecode(stream = true)

    @Test
    fun `a caller of a whole answer who closes the connection during decode`(): Unit = closesDuringDecode(stream = false)

    private fun closesDuringDecode(stream: Boolean) {
        val job = ChatJob("decode-$stream", LONG_TOKENS, stream)
        val call = bed.caller.call(bed.url(0), job)
        pool.submit { runCatching { call.execute().use { it.body.string() } } }
        bed.decoderOf(job.requestId)
        call.cancel()
        assertFreed("closed during decode, stream $stream", job.requestId)
    }

    @Test
    fun `a caller who closes the connection during prefill`() {
        val job = ChatJob("prefill", LONG_TOKENS, filler = "pattern ".repeat(PREFILL_WORDS))
        val call = bed.caller.call(bed.url(0), job)
        pool.submit { runCatching { call.execute().use { it.body.string() } } }
        bed.await("the prefill runs", IDLE_MS) { bed.held("prefill-1").any { job.requestId in it } }
        call.cancel()
        assertFreed("closed during prefill", job.requestId)
    }

    @Tag(KNOWN_RED)
    @Test
    fun `callers who close the connection while queued`() {
        val calls = List(QUEUED_CALLERS) { bed.caller.call(bed.url(it % 2), ChatJob("queued-$it", LONG_TOKENS)) }
        calls.forEach { call -> pool.submit { runCatching { call.execute().use { it.body.string() } } } }
        bed.await("both decode engines are full", IDLE_MS) { StreamBed.DECODERS.all { bed.held(it).size >= FULL_ENGINE } }
        calls.forEach { it.cancel() }
        assertFreed("closed while queued", "queued-")
    }

    @Test
    fun `an entry that is killed`() {
        val job = ChatJob("entry-killed", LONG_TOKENS)
        pool.submit { bed.caller.ask(bed.url(0), job) }
        bed.decoderOf(job.requestId)
        bed.deployment.entries[0].kill()
        assertFreed("entry killed", job.requestId)
        bed.deployment.entries[0].start()
        bed.deployment.awaitReady(0)
    }

    @Test
    fun `a sidecar that is killed and restarted, and a caller who leaves`() {
        val job = ChatJob("sidecar-killed", LONG_TOKENS)
        val call = bed.caller.call(bed.url(0), job)
        pool.submit { runCatching { call.execute().use { it.body.string() } } }
        val sidecar = bed.deployment.sidecars.getValue(bed.decoderOf(job.requestId))
        sidecar.kill()
        call.cancel()
        sidecar.start()
        // The bound starts when the replacement runs; its start takes as long as a JVM needs.
        bed.await("the sidecar runs", IDLE_MS) { sidecar.logText().split(STARTED).size > 2 }
        assertFreed("sidecar killed", job.requestId)
    }

    @Test
    fun `a link that goes silent, and a caller who leaves`() {
        val job = ChatJob("link-silent", LONG_TOKENS)
        val call = bed.caller.call(bed.url(0), job)
        pool.submit { runCatching { call.execute().use { it.body.string() } } }
        val engine = bed.decoderOf(job.requestId)
        bed.deployment.linkFault(engine, "silence", """{"direction":"BOTH","existing":true,"fraction":1.0,"new":true}""")
        call.cancel()
        try {
            assertFreed("link silent", job.requestId)
        } finally {
            bed.deployment.linkFault(engine, "heal")
        }
    }

    private fun assertFreed(
        what: String,
        requestId: String,
    ) {
        val tookMs =
            bed.await("memory of $requestId is free", StreamBed.FREE_BOUND_MS) {
                bed
                    .heldAnywhere()
                    .values
                    .flatten()
                    .none { requestId in it }
            }
        println("$what: free after $tookMs ms, bound ${StreamBed.FREE_BOUND_MS} ms")
        assertEquals(listOf(0, 0), StreamBed.DECODERS.map(bed::usedKvBlocks))
    }

    private companion object {
        const val LONG_TOKENS = 1_500
        const val PREFILL_WORDS = 8_000
        const val QUEUED_CALLERS = 60
        const val FULL_ENGINE = 18
        const val IDLE_MS = 20_000L
        const val STARTED = "process is listening"
    }
}
