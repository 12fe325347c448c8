package io.knapweedferry.telemetry

import kotlin.time.TimeSource

/** Token bucket over bytes. Used by the audit writer only, so it needs no lock. */
internal class ByteBudget(
    private val bytesPerSecond: Int,
    private val capacityBytes: Int,
    timeSource: TimeSource,
) {
    private val start = timeSource.markNow()
    private var refilledAtMs = 0L
    private var available = capacityBytes.toDouble()

    /** Bytes that may be sent now. */
    fun available(): Int {
        val nowMs = start.elapsedNow().inWholeMilliseconds
        available = minOf(capacityBytes.toDouble(), available + (nowMs - refilledAtMs) * bytesPerSecond / MS_PER_SECOND)
        refilledAtMs = nowMs
        return available.toInt()
    }

    /** Takes [bytes] out; the budget becomes negative if a batch exceeds it by its envelope. */
    fun spend(bytes: Int) {
        available -= bytes
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
    }
}
