package io.knapweedferry.policy.speed

/**
 * Latest measurements of one time. Other entries use the engine too, and it has short slow phases, so a measurement is often too long
 * but never too short: the lower quartile counts.
 */
internal class TimeSamples {
    private val samples = ArrayDeque<Double>()

    /** Null without a measurement. */
    val estimate: Double? get() = samples.sorted().getOrNull((samples.size - 1) / QUARTER)

    fun add(sample: Double) {
        if (!(sample > 0) || sample.isInfinite()) return
        samples += sample
        if (samples.size > MAX_SAMPLES) samples.removeFirst()
    }

    private companion object {
        const val MAX_SAMPLES = 9
        const val QUARTER = 4
    }
}
