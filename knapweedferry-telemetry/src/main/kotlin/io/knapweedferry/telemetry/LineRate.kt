package io.knapweedferry.telemetry

import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Bounds the lines of one event, because a flood of refusals would otherwise cost more in log lines than in work. Counts may
 * be off by a few lines when threads meet at the turn of a second.
 */
internal class LineRate(
    private val linesPerSecond: Int,
) {
    private val second = AtomicLong(Long.MIN_VALUE)
    private val written = AtomicInteger()
    private val suppressed = AtomicInteger()

    /** Lines left out since the last written one if this line may be written, else null. */
    fun admit(nowSecond: Long): Int? {
        val current = second.get()
        if (current != nowSecond && second.compareAndSet(current, nowSecond)) written.set(0)
        if (written.incrementAndGet() <= linesPerSecond) return suppressed.getAndSet(0)
        suppressed.incrementAndGet()
        return null
    }
}
