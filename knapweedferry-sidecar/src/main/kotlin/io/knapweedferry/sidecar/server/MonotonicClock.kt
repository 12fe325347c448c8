package io.knapweedferry.sidecar.server

import kotlin.time.TimeSource

/** Milliseconds since the start of the process on a clock that only goes forward. */
internal class MonotonicClock(
    timeSource: TimeSource,
) {
    private val start = timeSource.markNow()

    fun nowMs(): Long = start.elapsedNow().inWholeMilliseconds
}
