package io.knapweedferry.telemetry

import java.io.PrintStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/**
 * Writes log lines from a thread of its own. The queue is bounded and a full one drops lines instead of holding up a
 * request; the next line that is written says how many were dropped.
 */
public class AsyncLineSink(
    private val out: PrintStream,
    private val minimum: EventLevel = EventLevel.INFO,
    capacity: Int = DEFAULT_CAPACITY,
    private val onDropped: (Int) -> Unit = {},
) : EventSink {
    private val queue = ArrayBlockingQueue<String>(capacity)
    private val dropped = AtomicInteger()

    init {
        thread(name = "log-writer", isDaemon = true) { run() }
    }

    override fun accepts(level: EventLevel): Boolean = level >= minimum

    override fun write(
        level: EventLevel,
        line: String,
    ) {
        if (!queue.offer(line)) dropped.incrementAndGet()
    }

    /** Waits until all lines so far are written, for [timeoutMs] at most. */
    public fun flush(timeoutMs: Long) {
        val end = System.nanoTime() + timeoutMs * NANOS_PER_MS
        while (queue.isNotEmpty() && System.nanoTime() < end) Thread.sleep(1)
        out.flush()
    }

    private fun run() {
        val batch = ArrayList<String>()
        while (true) {
            batch += queue.take()
            queue.drainTo(batch, MAX_BATCH)
            val lost = dropped.getAndSet(0)
            if (lost > 0) {
                onDropped(lost)
                batch +=
                    """{"event":"${LogEvent.LOG_LINES_DROPPED.id}","message":"${LogEvent.LOG_LINES_DROPPED.message}","lines":"$lost"}"""
            }
            out.println(batch.joinToString("\n"))
            out.flush()
            batch.clear()
        }
    }

    private companion object {
        const val DEFAULT_CAPACITY = 2_048
        const val MAX_BATCH = 256
        const val NANOS_PER_MS = 1_000_000L
    }
}
