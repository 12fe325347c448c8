package io.knapweedferry.telemetry

import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Limits the log lines of one event per second. Without a limit, logging a burst of rejected requests costs more than
 * rejecting them. The limit is approximate: concurrent callers may exceed it by a few lines when a new second starts.
 */
internal class LineRateLimiter(
    private val linesPerSecond: Int,
) {
    private val windowSecond = AtomicLong(Long.MIN_VALUE)
    private val written = AtomicInteger()
    private val suppressed = AtomicInteger()

    /** Returns the number of lines suppressed since the last written one, or null if this line must be suppressed too. */
    fun tryAcquire(nowSecond: Long): Int? {
        val current = windowSecond.get()
        if (current != nowSecond && windowSecond.compareAndSet(current, nowSecond)) written.set(0)
        if (written.incrementAndGet() <= linesPerSecond) return suppressed.getAndSet(0)
        suppressed.incrementAndGet()
        return null
    }
}
