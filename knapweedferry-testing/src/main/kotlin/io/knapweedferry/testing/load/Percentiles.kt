package io.knapweedferry.testing.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram

/** Percentiles of measured times in milliseconds. */
@Serializable
public data class Percentiles(
    val count: Long,
    @SerialName("p50_ms")
    val p50Ms: Double,
    @SerialName("p90_ms")
    val p90Ms: Double,
    @SerialName("p95_ms")
    val p95Ms: Double,
    @SerialName("p99_ms")
    val p99Ms: Double,
    @SerialName("max_ms")
    val maxMs: Double,
) {
    /** Factory for percentiles. */
    public companion object {
        private const val MICROS_PER_MS = 1_000.0
        private const val SIGNIFICANT_DIGITS = 3

        /** Returns the percentiles of [timesMs]. */
        public fun of(timesMs: List<Double>): Percentiles {
            val histogram = Histogram(SIGNIFICANT_DIGITS)
            timesMs.forEach { histogram.recordValue((it * MICROS_PER_MS).toLong().coerceAtLeast(0)) }
            return Percentiles(
                count = histogram.totalCount,
                p50Ms = histogram.at(percentile = 50.0),
                p90Ms = histogram.at(percentile = 90.0),
                p95Ms = histogram.at(percentile = 95.0),
                p99Ms = histogram.at(percentile = 99.0),
                maxMs = histogram.at(percentile = 100.0),
            )
        }

        private fun Histogram.at(percentile: Double): Double = getValueAtPercentile(percentile) / MICROS_PER_MS
    }
}
