package io.knapweedferry.policy.speed

import io.knapweedferry.policy.quarantine.EngineIncarnation

/** Times of engines relative to the typical engine of their service: above 1 is slower. */
public class SpeedFactors internal constructor(
    /** Median over the engines. */
    public val typicalUs: Double,
    private val times: Map<EngineIncarnation, Double>,
) {
    /** From the fastest engine to the slowest. An engine of unknown speed is within it. */
    public val range: ClosedFloatingPointRange<Double> = limited(times.values.min() / typicalUs)..limited(times.values.max() / typicalUs)

    /** 1 for an engine of unknown speed. */
    public fun of(engine: EngineIncarnation): Double = times[engine]?.let { limited(it / typicalUs) } ?: 1.0

    private fun limited(factor: Double) = factor.coerceIn(1 / MAX_FACTOR, MAX_FACTOR)

    internal companion object {
        /** Engines of one service differ by less; a factor beyond this is a wrong measurement. */
        private const val MAX_FACTOR = 4.0

        /** Speeds that differ by less are within what a measurement beside other load can tell. */
        private const val MIN_SPREAD = 1.5
        private const val MIN_KNOWN = 3
        private const val TENTH = 10

        /** Null if too few times are known or the engines are about equally fast. */
        fun of(times: Map<EngineIncarnation, Double>): SpeedFactors? {
            if (times.size < MIN_KNOWN) return null
            val sorted = times.values.sorted()
            val spread = sorted[sorted.lastIndex - sorted.size / TENTH] / sorted[sorted.size / TENTH]
            return if (spread < MIN_SPREAD) null else SpeedFactors(sorted[sorted.size / 2], times)
        }
    }
}
