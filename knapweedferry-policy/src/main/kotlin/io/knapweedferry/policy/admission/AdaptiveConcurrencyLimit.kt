package io.knapweedferry.policy.admission

/**
 * Adaptive limit on concurrent requests that keeps the mean inter-token time within a target. The limit decreases in
 * proportion to the excess over the target and increases by one after several windows below it. A window is a fixed number
 * of tokens per running stream, so it spans the same number of engine steps for any batch size.
 */
internal class AdaptiveConcurrencyLimit(
    slots: Int,
    private val targetMs: Double?,
) {
    private var windowSamples = 0
    private var windowSumMs = 0.0
    private var consecutiveGoodWindows = 0

    /** Requests that may run concurrently. */
    var value: Int = slots.coerceAtLeast(1)
        private set

    /** Upper bound of [value]. */
    var slots: Int = slots
        set(slots) {
            // A limit that observations have not decreased follows an increase of the slots.
            value = if (value >= field) slots else minOf(value, slots)
            value = value.coerceAtLeast(1)
            field = slots
        }

    /** Mean inter-token time of the last complete window, or 0 before the first. */
    var meanInterTokenMs = 0.0
        private set

    fun observe(
        interTokenMs: Double,
        running: Int,
    ) {
        // More requests run than the limit allows: the last decrease has not taken effect yet.
        if (running > value) return clearWindow()
        windowSamples++
        windowSumMs += if (targetMs == null) interTokenMs else minOf(interTokenMs, targetMs * OUTLIER_CAP_FACTOR)
        if (windowSamples < WINDOW_TOKENS_PER_STREAM * running.coerceAtLeast(1)) return
        meanInterTokenMs = windowSumMs / windowSamples
        clearWindow()
        if (targetMs != null) adjust(targetMs, running)
    }

    private fun clearWindow() {
        windowSamples = 0
        windowSumMs = 0.0
    }

    private fun adjust(
        target: Double,
        running: Int,
    ) {
        if (meanInterTokenMs > target) return decrease(target, running)
        if (meanInterTokenMs > target * INCREASE_THRESHOLD_FACTOR || running * 2 < value) {
            consecutiveGoodWindows = 0
            return
        }
        consecutiveGoodWindows++
        if (consecutiveGoodWindows < WINDOWS_BEFORE_INCREASE) return
        consecutiveGoodWindows = 0
        value = (value + 1).coerceAtMost(slots.coerceAtLeast(1))
    }

    private fun decrease(
        target: Double,
        running: Int,
    ) {
        consecutiveGoodWindows = 0
        val factor = (target / meanInterTokenMs).coerceAtMost(MAX_DECREASE_FACTOR)
        value = maxOf(running * factor, value * MIN_DECREASE_FACTOR).toInt().coerceAtLeast(1)
    }

    private companion object {
        const val WINDOW_TOKENS_PER_STREAM = 16

        /** A single engine pause makes one late token per stream and says nothing about the batch size. */
        const val OUTLIER_CAP_FACTOR = 4
        const val WINDOWS_BEFORE_INCREASE = 4

        /**
         * Fraction of the target below which the limit may increase; without this margin it would oscillate around the
         * target.
         */
        const val INCREASE_THRESHOLD_FACTOR = 0.9

        /**
         * Bounds a single decrease: one slow window with few running requests must not reduce the limit to almost nothing.
         */
        const val MIN_DECREASE_FACTOR = 0.5
        const val MAX_DECREASE_FACTOR = 0.95
    }
}
