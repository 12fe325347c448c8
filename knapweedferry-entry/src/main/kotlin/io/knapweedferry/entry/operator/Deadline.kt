package io.knapweedferry.entry.operator

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Deadline of one operator request. */
internal class Deadline(
    timeSource: TimeSource,
    totalMs: Long,
) {
    private val end = timeSource.markNow() + totalMs.milliseconds

    /** Remaining time, at least 0. */
    val remainingMs: Long get() = (-end.elapsedNow().inWholeMilliseconds).coerceAtLeast(0)
}
