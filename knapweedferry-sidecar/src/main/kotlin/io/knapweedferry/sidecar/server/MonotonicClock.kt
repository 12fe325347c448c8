package io.knapweedferry.sidecar.server

import kotlin.time.TimeSource

/** Monotonic time in milliseconds since the clock was created. */
internal class MonotonicClock(
    timeSource: TimeSource,
) {
    private val start = timeSource.markNow()

    fun nowMs(): Long = start.elapsedNow().inWholeMilliseconds
}
