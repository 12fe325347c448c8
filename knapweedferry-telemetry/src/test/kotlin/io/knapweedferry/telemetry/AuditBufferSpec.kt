package io.knapweedferry.telemetry

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Guards against records that are lost silently and capacity that is not released when several threads submit concurrently. */
internal class AuditBufferSpec {
    @Test
    fun `concurrent submits keep or reject each record and drain releases the capacity`() {
        val buffer = AuditBuffer(CAPACITY_BYTES)
        val rejected = AtomicInteger()
        val runningThreads = CountDownLatch(THREADS)
        repeat(THREADS) {
            thread {
                repeat(RECORDS_PER_THREAD) { if (!buffer.offer(EncodedAuditRecord("", 10, 0))) rejected.incrementAndGet() }
                runningThreads.countDown()
            }
        }
        var drained = 0
        while (runningThreads.count > 0 || !buffer.isEmpty) {
            assertTrue(buffer.queuedBytes in 0..CAPACITY_BYTES)
            drained += buffer.drain(50).size
        }
        assertEquals(THREADS * RECORDS_PER_THREAD, drained + rejected.get())
        assertEquals(0, buffer.queuedBytes)
    }

    @Test
    fun `drop reports are merged until they are taken`() {
        val buffer = AuditBuffer(CAPACITY_BYTES)
        buffer.addDropped(DroppedRecords(1, 50, 60))
        buffer.addDropped(DroppedRecords(2, 40, 55))
        assertEquals(DroppedRecords(3, 40, 60), buffer.takeDropped())
        assertEquals(null, buffer.takeDropped())
    }

    private companion object {
        const val CAPACITY_BYTES = 1_000
        const val THREADS = 4
        const val RECORDS_PER_THREAD = 20_000
    }
}
