package io.knapweedferry.entry.operator

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Time that is left for one answer. */
internal class Deadline(
    timeSource: TimeSource,
    totalMs: Long,
) {
    private val end = timeSource.markNow() + totalMs.milliseconds

    /** Time left, never below zero. */
    val remainingMs: Long get() = (-end.elapsedNow().inWholeMilliseconds).coerceAtLeast(0)
}
