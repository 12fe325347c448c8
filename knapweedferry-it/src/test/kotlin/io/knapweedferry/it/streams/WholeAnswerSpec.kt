package io.knapweedferry.it.streams

import io.knapweedferry.it.streams.ChatResult.End
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
 * Guards against answers that are crossed, cut without an error, or contain a token twice when links, entries and engines
 * fail (H2, H3).
 */
@TestInstance(Lifecycle.PER_CLASS)
internal class WholeAnswerSpec {
    private lateinit var bed: StreamBed

    @BeforeAll
    fun start(
        @TempDir folder: Path,
    ) {
        println("seed $SEED")
        bed = StreamBed(folder, StreamBed.plan(SEED))
    }

    @AfterAll
    fun stop() = bed.close()

    @Test
    fun `each caller gets its own whole answer or an error while links fail`() {
        val left = AtomicInteger(REQUESTS)
        val pool = Executors.newFixedThreadPool(CALLERS)
        val callers =
            List(CALLERS) {
                pool.submit(
                    Callable {
                        val results = mutableListOf<Pair<ChatJob, ChatResult>>()
                        while (true) {
                            val number = left.getAndDecrement()
                            if (number <= 0) break
                            val job = ChatJob("links-$number", 10 + number % 50, stream = number % 3 != 0)
                            results += job to bed.caller.ask(bed.url(number % 2), job)
                        }
                        results
                    },
                )
            }
        val random = Random(SEED)
        while (left.get() > 0) disturb(random)
        val results = callers.flatMap { it.get() }
        pool.shutdown()
        println("seed $SEED: ${results.groupingBy { it.second.end }.eachCount()}")
        assertEquals(emptyList<String>(), results.mapNotNull { (job, result) -> result.fault(job) })
        assertTrue(results.count { it.second.end == End.WHOLE } > REQUESTS / 2) { "most answers are whole" }
    }

    @Test
    fun `a caller resumes through the other entry after the first was killed`() {
        val job = ChatJob("resumed", 300)
        val first = bed.caller.ask(bed.url(0), job, onToken = { count, _ -> if (count == KILL_AT) bed.deployment.entries[0].kill() })
        val second = bed.caller.ask(bed.url(1), job, first.lastEventId)
        bed.deployment.entries[0].start()
        bed.deployment.awaitReady(0)
        assertEquals(End.CONNECTION_BROKEN, first.end)
        assertNull(second.fault(job, first.texts))
        assertEquals(End.WHOLE, second.end, second.detail)
    }

    @ParameterizedTest(name = "{0}")
    @ValueSource(strings = ["sidecar killed", "engine crashed", "engine stalled"])
    fun `a lost decode sidecar or engine gives the whole answer or an error`(fault: String) {
        val jobs = List(LOST_STREAMS) { ChatJob("${fault.replace(' ', '-')}-$it", 150, stream = it % 2 == 0) }
        val pool = Executors.newFixedThreadPool(LOST_STREAMS)
        val answers = jobs.map { job -> pool.submit(Callable { bed.caller.ask(bed.url(1), job) }) }
        val victim = bed.decoderOf(fault.replace(' ', '-'))
        when (fault) {
            "sidecar killed" ->
                bed.deployment.sidecars
                    .getValue(victim)
                    .run { kill().also { start() } }
            "engine crashed" -> bed.admin(victim, "crash")
            else -> bed.deployment.standInFaults(victim, """{"decodeStalled":true,"transferStalled":true}""")
        }
        if (fault == "engine stalled") {
            Thread.sleep(STALL_MS)
            bed.deployment.standInFaults(victim, "{}")
        }
        val results = answers.map { it.get() }
        pool.shutdown()
        println("seed $SEED: $fault: ${results.groupingBy { it.end }.eachCount()}")
        assertEquals(emptyList<String>(), jobs.zip(results).mapNotNull { (job, result) -> result.fault(job) })
    }

    /** One fault on one link, with a pause in which it works and another in which it is healed. */
    private fun disturb(random: Random) {
        val link = StreamBed.ENGINES.random(random)
        val direction = listOf("TO_TARGET", "TO_CLIENT", "BOTH").random(random)
        when (random.nextInt(3)) {
            0 -> bed.deployment.linkFault(link, "cut", """{"existing":true,"new":false}""")
            1 -> bed.deployment.linkFault(link, "delay", """{"ms":60,"jitterMs":40,"direction":"$direction"}""")
            else -> bed.deployment.linkFault(link, "silence", """{"direction":"$direction","existing":true,"fraction":1.0,"new":false}""")
        }
        Thread.sleep(random.nextLong(SHORTEST_FAULT_MS, LONGEST_FAULT_MS))
        bed.deployment.linkFault(link, "heal")
        Thread.sleep(random.nextLong(SHORTEST_FAULT_MS, LONGEST_FAULT_MS))
    }

    private companion object {
        const val SEED = 20_261L
        const val REQUESTS = 240
        const val CALLERS = 24
        const val KILL_AT = 40
        const val LOST_STREAMS = 8
        const val STALL_MS = 1_000L
        const val SHORTEST_FAULT_MS = 50L
        const val LONGEST_FAULT_MS = 300L
    }
}
