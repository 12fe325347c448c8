package io.knapweedferry.telemetry

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.ByteArrayOutputStream
import java.io.OutputStream
import java.io.PrintStream
import java.util.concurrent.CountDownLatch

/** Guards against a slow log reader that blocks requests, and against lines that are dropped without being counted. */
internal class AsyncLineSinkSpec {
    @Test
    fun `lines are written in order`() {
        val bytes = ByteArrayOutputStream()
        val sink = AsyncLineSink(PrintStream(bytes, true))
        repeat(100) { sink.write(EventLevel.INFO, "line $it") }
        val end = System.nanoTime() + 5_000_000_000
        while (bytes.toString().lines().size < 101 && System.nanoTime() < end) Thread.sleep(5)
        assertEquals((0..99).map { "line $it" }, bytes.toString().trim().lines())
    }

    @Test
    fun `a full queue drops lines without blocking and reports their number`() {
        val release = CountDownLatch(1)
        val bytes = ByteArrayOutputStream()
        val blocked =
            object : OutputStream() {
                override fun write(value: Int) {
                    release.await()
                    bytes.write(value)
                }
            }
        var dropped = 0
        val sink = AsyncLineSink(PrintStream(blocked, true), capacityLines = 4, onDropped = { dropped += it })
        val started = System.nanoTime()
        repeat(1_000) { sink.write(EventLevel.INFO, "line $it") }
        assertTrue((System.nanoTime() - started) / 1_000_000 < 1_000)
        release.countDown()
        sink.flush(5_000)
        sink.write(EventLevel.INFO, "last")
        val end = System.nanoTime() + 5_000_000_000
        while (!bytes.toString().contains("last") && System.nanoTime() < end) Thread.sleep(5)
        assertTrue(dropped > 900)
        assertTrue(bytes.toString().contains(LogEvent.LOG_LINES_DROPPED.id))
    }
}
