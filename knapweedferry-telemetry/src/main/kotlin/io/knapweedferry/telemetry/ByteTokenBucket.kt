package io.knapweedferry.telemetry

import kotlin.time.TimeSource

/** Token bucket that counts bytes. Not thread safe; only the audit writer uses it. */
internal class ByteTokenBucket(
    private val bytesPerSecond: Int,
    private val capacityBytes: Int,
    timeSource: TimeSource,
) {
    private val start = timeSource.markNow()
    private var refilledAtMs = 0L
    private var tokens = capacityBytes.toDouble()

    /** Bytes that may be sent now. */
    fun availableBytes(): Int {
        val nowMs = start.elapsedNow().inWholeMilliseconds
        tokens = minOf(capacityBytes.toDouble(), tokens + (nowMs - refilledAtMs) * bytesPerSecond / MS_PER_SECOND)
        refilledAtMs = nowMs
        return tokens.toInt()
    }

    /** Removes [bytes]; the balance may become negative, because a batch may exceed the capacity by its envelope. */
    fun consume(bytes: Int) {
        tokens -= bytes
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0
    }
}
