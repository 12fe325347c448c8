package io.knapweedferry.policy.speed

import kotlin.math.ln

/**
 * Expected run of one request on engines of different speeds. Answers loads of which some answers take so long on slow engines that
 * they don't end before their deadline.
 */
public class ExpectedRun(
    /** Time from admission to the last event on the typical engine. */
    private val typicalMs: Double,
    /** Time until the caller's deadline. */
    private val leftMs: Double,
) {
    private val isLong = typicalMs > leftMs * LONG_SHARE

    /**
     * Cost of an engine with [factor] of the typical times, in milliseconds, among engines with factors in [range]: long requests
     * prefer fast engines, others leave them free. An engine on which the run would end too late comes after all others, the
     * fastest first.
     */
    public fun costMs(
        factor: Double,
        range: ClosedFloatingPointRange<Double>,
    ): Double =
        when {
            typicalMs * factor > leftMs -> LATE_COST_MS + typicalMs * factor
            isLong -> MS_PER_E_FOLD * ln(factor / range.start)
            else -> MS_PER_E_FOLD * ln(range.endInclusive / factor)
        }

    private companion object {
        /** The length of an answer is known within a factor of two at best. */
        const val LONG_SHARE = 0.5

        /** Engines of which one is twice as fast as the other differ by more than the order of filling among equal ones, 100 ms. */
        const val MS_PER_E_FOLD = 200.0

        /** More than any cost of load, less than that of an avoided engine. */
        const val LATE_COST_MS = 5_000.0
    }
}
