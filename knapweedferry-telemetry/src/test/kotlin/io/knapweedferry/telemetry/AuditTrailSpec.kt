package io.knapweedferry.telemetry

import io.knapweedferry.api.Incarnation
import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.ProcessId
import io.knapweedferry.api.RequestId
import io.knapweedferry.platform.PlatformError
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.time.Instant

/** Guards against audit records that delay requests, are dropped without being counted, or exceed the byte budget. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class AuditTrailSpec {
    private val log = FakeLog()
    private val metrics = RouterMetrics()
    private val lines = mutableListOf<String>()

    @Test
    fun `a submitted trace is appended with its steps`() =
        runTest {
            val trail = trail(AuditTrailSettings())
            val trace = trail.start(RequestId("r-1"))
            trace.organisation = OrganisationId("lowell-fleet")
            advanceTimeBy(12)
            trace.step(TraceStage.PLACE, "engine-3", "shortest queue", "queue_ms" to 40, "cached_tokens" to null)
            trail.submit(trace, "completed")
            trail.flush(1_000)
            val record = find("r-1").matches.single().record
            assertEquals(listOf(AuditStep("place", "engine-3", "shortest queue", mapOf("queue_ms" to "40"), 12)), record.steps)
            assertEquals(OrganisationId("lowell-fleet"), record.organisation)
            assertEquals("completed", record.outcome)
        }

    @Test
    fun `the reader ignores duplicate batches that are appended after lost responses`() =
        runTest {
            val trail = trail(AuditTrailSettings())
            log.failures += listOf(PlatformError.NoResponse("lost"), PlatformError.NoResponse("lost"))
            submit(trail, "r-1")
            val writer = launch { trail.run() }
            advanceTimeBy(60_000)
            writer.cancel()
            assertEquals(3, log.records.size)
            assertEquals(1, find("r-1").matches.size)
        }

    @Test
    fun `records that do not fit the buffer during an outage are reported as dropped afterwards`() =
        runTest {
            val trail = trail(AuditTrailSettings(bufferBytes = 2_000))
            repeat(200) { log.failures += PlatformError.NotSent("down") }
            val writer = launch { trail.run() }
            repeat(100) {
                submit(trail, "r-$it")
                advanceTimeBy(1_000)
            }
            log.failures.clear()
            advanceTimeBy(120_000)
            writer.cancel()
            val kept = (0 until 100).count { find("r-$it").matches.isNotEmpty() }
            val result = find("r-99")
            assertTrue(kept in 10..60, "kept $kept")
            assertEquals(100, kept + result.droppedRecords)
            assertTrue(result.matches.isEmpty() && result.mayBeIncomplete)
            assertTrue(metrics.scrape().contains("knapweedferry_audit_dropped_records_total ${100.0 - kept}"))
            assertTrue(lines.any { it.startsWith("KF-0801") } && lines.any { it.startsWith("KF-0802") }, "$lines")
        }

    @Test
    fun `a permanently rejected batch is counted as dropped and does not block later batches`() =
        runTest {
            val trail = trail(AuditTrailSettings())
            log.failures += PlatformError.Rejected(413, "too large")
            submit(trail, "r-1")
            trail.flush(1_000)
            submit(trail, "r-2")
            trail.flush(1_000)
            assertEquals(1, find("r-1").droppedRecords)
            assertEquals(1, find("r-2").matches.size)
        }

    @Test
    fun `appends stay within the byte budget and no record is dropped while the buffer has room`() =
        runTest {
            val trail = trail(AuditTrailSettings(bytesPerSecond = 500, burstSeconds = 1))
            repeat(2_000) { submit(trail, "r-$it") }
            val writer = launch { trail.run() }
            advanceTimeBy(100_000)
            val bytesIn100Seconds = log.records.sumOf { it.payload.length }
            advanceTimeBy(600_000)
            writer.cancel()
            // The burst is at least 40,000 bytes, enough for the largest record.
            assertTrue(bytesIn100Seconds <= 40_000 + 100 * 500, "$bytesIn100Seconds bytes in 100 s")
            assertEquals(0, find("r-0").droppedRecords)
            assertEquals(1, find("r-1999").matches.size)
        }

    @Test
    fun `flush returns when the byte budget is used up`() =
        runTest {
            val trail = trail(AuditTrailSettings(bytesPerSecond = 1, burstSeconds = 1))
            repeat(2_000) { submit(trail, "r-$it") }
            trail.flush(1_000)
            assertTrue(lines.any { it.startsWith("KF-0805") })
        }

    @Test
    fun `a trace limits its steps and masks credentials`() =
        runTest {
            val trail = trail(AuditTrailSettings())
            val trace = trail.start(RequestId("r-1"))
            repeat(1_000) { trace.step(TraceStage.RETRY, "\u0001".repeat(500), "Bearer abc", "token" to "abc") }
            trail.submit(trace, "failed")
            trail.flush(1_000)
            val record = find("r-1").matches.single().record
            assertEquals(32 to 968, record.steps.size to record.omittedSteps)
            assertFalse(log.records.any { it.payload.contains("abc") })
        }

    private suspend fun find(id: String) = AuditReader(log).find(RequestId(id)).fold({ error(it.message) }, { it })

    private fun submit(
        trail: AuditTrail,
        id: String,
    ) {
        val trace = trail.start(RequestId(id))
        trace.step(TraceStage.ADMIT, "accepted")
        trail.submit(trace, "completed")
    }

    private fun TestScope.trail(settings: AuditTrailSettings): AuditTrail =
        AuditTrail(
            log = log,
            process = ProcessId("entry-1"),
            incarnation = Incarnation("i-1"),
            settings = settings,
            metrics = metrics,
            events = EventLog(sink = { _, line -> lines += line }),
            timeSource = testScheduler.timeSource,
            clock = { Instant.ofEpochMilli(testScheduler.currentTime) },
        )
}
