package io.knapweedferry.policy.admission

/** Exponentially weighted means of the service time and the memory demand of tickets. */
internal class ServiceStatistics {
    private var serviceSamples = 0
    private var kvBlockSamples = 0

    var meanServiceMs = INITIAL_MEAN_SERVICE_MS
        private set

    var meanKvBlocks = 1.0
        private set

    /** Whether there are enough samples to refuse tickets because of their estimated wait. */
    val isReliable: Boolean get() = serviceSamples >= MIN_RELIABLE_SAMPLES

    fun observeServiceMs(serviceMs: Double) {
        serviceSamples++
        meanServiceMs += (serviceMs - meanServiceMs) * weight(serviceSamples)
    }

    fun observeKvBlocks(kvBlocks: Int) {
        kvBlockSamples++
        // Calls of plain services take no memory; the wait estimate divides by this mean.
        meanKvBlocks += (maxOf(kvBlocks, 1) - meanKvBlocks) * weight(kvBlockSamples)
    }

    /** Arithmetic mean of the first samples, exponential decay afterwards. */
    private fun weight(samples: Int): Double = maxOf(1.0 / samples, MIN_SAMPLE_WEIGHT)

    private companion object {
        const val INITIAL_MEAN_SERVICE_MS = 1_000.0
        const val MIN_RELIABLE_SAMPLES = 5
        const val MIN_SAMPLE_WEIGHT = 0.05
    }
}
