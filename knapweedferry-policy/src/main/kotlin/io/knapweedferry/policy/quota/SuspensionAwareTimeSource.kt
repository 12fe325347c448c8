package io.knapweedferry.policy.quota

import kotlin.time.AbstractLongTimeSource
import kotlin.time.DurationUnit

/**
 * Monotonic clock that also counts the time in which the instance is suspended, which most monotonic clocks leave out: it
 * advances with the wall clock where that is ahead by more than a correction of the wall clock would be. Confined to one thread.
 */
public class SuspensionAwareTimeSource(
    private val monotonicMs: () -> Long,
    private val wallMs: () -> Long,
) : AbstractLongTimeSource(DurationUnit.MILLISECONDS) {
    private var elapsedMs = 0L
    private var lastMonotonicMs = monotonicMs()
    private var lastWallMs = wallMs()

    override fun read(): Long {
        val monotonic = monotonicMs()
        val wall = wallMs()
        val monotonicStepMs = (monotonic - lastMonotonicMs).coerceAtLeast(0)
        val wallStepMs = wall - lastWallMs
        elapsedMs += if (wallStepMs - monotonicStepMs > MAX_CORRECTION_MS) wallStepMs else monotonicStepMs
        lastMonotonicMs = monotonic
        lastWallMs = wall
        return elapsedMs
    }

    private companion object {
        /** Longer than a step by which time synchronisation corrects the wall clock. */
        const val MAX_CORRECTION_MS = 500L
    }
}
