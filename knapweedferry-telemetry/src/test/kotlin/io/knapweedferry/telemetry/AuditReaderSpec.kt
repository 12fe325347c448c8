package io.knapweedferry.telemetry

import io.knapweedferry.api.ProcessId
import io.knapweedferry.api.RequestId
import io.knapweedferry.platform.log.LogRecord
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Guards against searches that read the audit stream without a limit or do not report that records may be missing. */
internal class AuditReaderSpec {
    private val log = FakeLog()

    @Test
    fun `records of all processes are returned in order of their start time`() =
        runTest {
            batch("b-1", ProcessId("entry-2"), startedAtMs = 9_000)
            repeat(250) { batch("other-$it", id = "r-2") }
            batch("b-2", ProcessId("sidecar-1"), startedAtMs = 5_000)
            assertEquals(listOf("sidecar-1", "entry-2"), find().matches.map { it.process.value })
        }

    @Test
    fun `a scan that stops at its limit is reported as incomplete`() =
        runTest {
            batch("b-1")
            repeat(50) { batch("other-$it", id = "r-2") }
            val result = find(maxBatches = 50)
            assertEquals(listOf(0, 50, false, true), result.run { listOf(matches.size, scannedBatches, reachedOldest, mayBeIncomplete) })
            assertEquals(51, log.readRecordCount)
        }

    @Test
    fun `a scan with an end time ignores batches appended later`() =
        runTest {
            batch("b-1")
            repeat(50) { batch("other-$it", id = "r-2") }
            val cases = listOf(-1L to 0, 0L to 1, 30L to 20, 50L to 20, 90L to 20)
            cases.forEach { (untilMs, scanned) -> assertEquals(scanned, find(maxBatches = 20, untilMs = untilMs).scannedBatches) }
            assertEquals(1, find(maxBatches = 20, untilMs = 19).matches.size)
            assertEquals(0, find(maxBatches = 20, untilMs = 20).matches.size)
        }

    @Test
    fun `drops make a result incomplete if they overlap the request or no record was found`() =
        runTest {
            batch("b-1", startedAtMs = 1_000_000)
            batch("b-2", id = "r-2", dropped = DroppedRecords(4, 100_000, 200_000))
            assertEquals(false, find().mayBeIncomplete)
            batch("b-3", id = "r-2", dropped = DroppedRecords(2, 990_000, 1_000_100))
            assertEquals(6L to true, find().run { droppedRecords to mayBeIncomplete })
            assertEquals(true, find("r-9").mayBeIncomplete)
        }

    @Test
    fun `the scan continues past undecodable batches and accepts batches of a newer version`() =
        runTest {
            log.records += LogRecord(0, 0, "not json")
            log.records +=
                LogRecord(1, 0, """{"b":"x","p":"entry-1","new":1,"a":[{"r":"r-1","t":1,"ms":2,"e":"completed","s":[],"z":0}]}""")
            val result = find()
            assertEquals(1 to 1, result.matches.size to result.unreadableBatches)
        }

    @Test
    fun `a scan handles an empty stream and a stream truncated by retention`() =
        runTest {
            assertEquals(0, find().scannedBatches)
            repeat(20) { batch("b-$it") }
            log.firstOffset = 15
            assertEquals(5 to true, find().run { matches.size to reachedOldest })
        }

    private suspend fun find(
        id: String = "r-1",
        maxBatches: Int = AuditReader.DEFAULT_MAX_BATCHES,
        untilMs: Long? = null,
    ) = AuditReader(log).find(RequestId(id), maxBatches, untilMs).fold({ error(it.message) }, { it })

    private fun batch(
        batchId: String,
        process: ProcessId = ProcessId("entry-1"),
        id: String = "r-1",
        startedAtMs: Long = 0,
        dropped: DroppedRecords? = null,
    ) {
        val record = AuditRecord(RequestId(id), null, startedAtMs, 10, "completed", emptyList())
        val payload = AuditTrail.json.encodeToString(AuditBatch.serializer(), AuditBatch(batchId, process, dropped, listOf(record)))
        log.records += LogRecord(log.records.size.toLong(), log.records.size.toLong(), payload)
    }
}
