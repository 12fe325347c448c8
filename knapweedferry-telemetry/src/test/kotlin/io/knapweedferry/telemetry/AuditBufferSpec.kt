package io.knapweedferry.telemetry

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Guards against records that are neither kept nor refused when many threads submit at once, and against a leak of space. */
internal class AuditBufferSpec {
    @Test
    fun `every record is taken or refused and the space comes back`() {
        val buffer = AuditBuffer(CAPACITY_BYTES)
        val refused = AtomicInteger()
        val running = CountDownLatch(THREADS)
        repeat(THREADS) {
            thread {
                repeat(PER_THREAD) { if (!buffer.offer(EncodedRecord("", 10, 0))) refused.incrementAndGet() }
                running.countDown()
            }
        }
        var taken = 0
        while (running.count > 0 || !buffer.isEmpty) {
            assertTrue(buffer.waitingBytes in 0..CAPACITY_BYTES)
            taken += buffer.take(50).size
        }
        assertEquals(THREADS * PER_THREAD, taken + refused.get())
        assertEquals(0, buffer.waitingBytes)
    }

    @Test
    fun `losses add up until they are taken`() {
        val buffer = AuditBuffer(CAPACITY_BYTES)
        buffer.lose(AuditLoss(1, 50, 60))
        buffer.lose(AuditLoss(2, 40, 55))
        assertEquals(AuditLoss(3, 40, 60), buffer.takeLoss())
        assertEquals(null, buffer.takeLoss())
    }

    private companion object {
        const val CAPACITY_BYTES = 1_000
        const val THREADS = 4
        const val PER_THREAD = 20_000
    }
}
