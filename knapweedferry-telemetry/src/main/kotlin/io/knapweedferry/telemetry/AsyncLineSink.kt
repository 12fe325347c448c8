package io.knapweedferry.telemetry

import java.io.PrintStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/**
 * Writes log lines on a background thread. The queue is bounded: if it is full, lines are dropped instead of blocking a
 * request, and the next batch reports the number of dropped lines.
 */
public class AsyncLineSink(
    private val out: PrintStream,
    private val minimumLevel: EventLevel = EventLevel.INFO,
    capacityLines: Int = DEFAULT_CAPACITY_LINES,
    private val onDropped: (Int) -> Unit = {},
) : EventSink {
    private val lines = ArrayBlockingQueue<String>(capacityLines)
    private val droppedLines = AtomicInteger()

    init {
        thread(name = "log-writer", isDaemon = true) { run() }
    }

    override fun accepts(level: EventLevel): Boolean = level >= minimumLevel

    override fun write(
        level: EventLevel,
        line: String,
    ) {
        if (!lines.offer(line)) droppedLines.incrementAndGet()
    }

    /** Waits up to [timeoutMs] until the queue is empty. A batch that the writer has already taken may still be in progress. */
    public fun flush(timeoutMs: Long) {
        val end = System.nanoTime() + timeoutMs * NANOS_PER_MS
        while (lines.isNotEmpty() && System.nanoTime() < end) Thread.sleep(1)
        out.flush()
    }

    private fun run() {
        val batch = ArrayList<String>()
        while (true) {
            batch += lines.take()
            lines.drainTo(batch, MAX_BATCH_LINES)
            val dropped = droppedLines.getAndSet(0)
            if (dropped > 0) {
                onDropped(dropped)
                batch +=
                    """{"event":"${LogEvent.LOG_LINES_DROPPED.id}","message":"${LogEvent.LOG_LINES_DROPPED.message}","lines":"$dropped"}"""
            }
            out.println(batch.joinToString("\n"))
            out.flush()
            batch.clear()
        }
    }

    private companion object {
        const val DEFAULT_CAPACITY_LINES = 2_048
        const val MAX_BATCH_LINES = 256
        const val NANOS_PER_MS = 1_000_000L
    }
}
