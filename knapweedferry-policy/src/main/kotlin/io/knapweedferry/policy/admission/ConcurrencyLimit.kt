package io.knapweedferry.policy.admission

/**
 * Decides how many requests may run at once so that the time between tokens stays within a target. The limit falls in
 * proportion to the excess and rises one step after several good windows. A window is a number of tokens per running
 * stream, so that it spans the same number of engine steps for any batch size.
 */
internal class ConcurrencyLimit(
    slots: Int,
    private val targetMs: Double?,
) {
    private var windowSamples = 0
    private var windowSumMs = 0.0
    private var goodWindows = 0

    /** Requests that may run at once. */
    var value: Int = slots.coerceAtLeast(1)
        private set

    /** Upper bound of [value]. */
    var slots: Int = slots
        set(slots) {
            // A limit that was not lowered by observations follows the slots up.
            value = if (value >= field) slots else minOf(value, slots)
            value = value.coerceAtLeast(1)
            field = slots
        }

    /** Mean time between tokens over the last whole window, or 0 before the first. */
    var meanMs = 0.0
        private set

    fun observe(
        interTokenMs: Double,
        running: Int,
    ) {
        // While more requests run than the limit allows, the last reduction has not taken effect yet.
        if (running > value) return clearWindow()
        windowSamples++
        windowSumMs += if (targetMs == null) interTokenMs else minOf(interTokenMs, targetMs * OUTLIER_FACTOR)
        if (windowSamples < TOKENS_PER_STREAM * running.coerceAtLeast(1)) return
        meanMs = windowSumMs / windowSamples
        clearWindow()
        if (targetMs != null) adapt(targetMs, running)
    }

    private fun clearWindow() {
        windowSamples = 0
        windowSumMs = 0.0
    }

    private fun adapt(
        target: Double,
        running: Int,
    ) {
        if (meanMs > target) return lower(target, running)
        if (meanMs > target * HEADROOM || running * 2 < value) {
            goodWindows = 0
            return
        }
        goodWindows++
        if (goodWindows < GOOD_WINDOWS) return
        goodWindows = 0
        value = (value + 1).coerceAtMost(slots.coerceAtLeast(1))
    }

    private fun lower(
        target: Double,
        running: Int,
    ) {
        goodWindows = 0
        val factor = (target / meanMs).coerceAtMost(WEAKEST_CUT)
        value = maxOf(running * factor, value * STRONGEST_CUT).toInt().coerceAtLeast(1)
    }

    private companion object {
        const val TOKENS_PER_STREAM = 16

        /** A single pause of the engine is one late token of each stream and says nothing about the batch. */
        const val OUTLIER_FACTOR = 4
        const val GOOD_WINDOWS = 4

        /** The limit rises only while the observed time is clearly below the target, otherwise it would swing around it. */
        const val HEADROOM = 0.9

        /** One slow window with few requests running must not close the gate almost completely. */
        const val STRONGEST_CUT = 0.5
        const val WEAKEST_CUT = 0.95
    }
}
