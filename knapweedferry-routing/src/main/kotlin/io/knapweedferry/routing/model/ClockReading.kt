package io.knapweedferry.routing.model

import kotlin.time.TimeSource

/**
 * Reading of the monotonic and the wall clock at one moment, for time limits that must also end while the process is suspended.
 * The monotonic clock stops then, and the wall clock may be adjusted; a limit counts as exceeded if either clock says so.
 */
public class ClockReading(
    timeSource: TimeSource = TimeSource.Monotonic,
    private val wallMs: () -> Long = System::currentTimeMillis,
) {
    private val monotonicMark = timeSource.markNow()
    private val wallMark = wallMs()

    /** Time since the reading by the monotonic clock. */
    public val elapsedMs: Long get() = monotonicMark.elapsedNow().inWholeMilliseconds

    /** True if less than [durationMs] has passed by both clocks. A wall clock that was set back to before the reading ends the limit. */
    public fun isWithin(durationMs: Long): Boolean = elapsedMs < durationMs && wallMs() - wallMark in 0 until durationMs
}
