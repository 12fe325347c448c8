package io.knapweedferry.sidecar.orders

import io.knapweedferry.sidecar.server.MonotonicClock
import kotlinx.coroutines.delay

/**
 * Counts pauses of the process. Reads both clocks, because the monotonic clock stops while the machine is suspended
 * and the wall clock may be set back.
 */
internal class PauseDetector(
    private val clock: MonotonicClock,
    private val wallClockMs: () -> Long,
    private val pauseThresholdMs: Long,
) {
    private val lock = Any()
    private var lastMs = clock.nowMs()
    private var lastWallMs = wallClockMs()
    private var pauses = 0

    /** Reads the clocks periodically, so that time without other calls does not count as a pause. */
    suspend fun run() {
        while (true) {
            delay(CHECK_INTERVAL_MS)
            updateAndCount()
        }
    }

    /** Reads the clocks and returns the number of pauses so far, including one that has just ended. */
    fun updateAndCount(): Int =
        synchronized(lock) {
            val now = clock.nowMs()
            val wallNow = wallClockMs()
            if (maxOf(now - lastMs, wallNow - lastWallMs) > CHECK_INTERVAL_MS + pauseThresholdMs) pauses++
            lastMs = now
            lastWallMs = wallNow
            pauses
        }

    companion object {
        private const val CHECK_INTERVAL_MS = 500L
    }
}
