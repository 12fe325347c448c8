package io.knapweedferry.policy.admission

/** Moving means of how long tickets hold capacity and how much memory they take. */
internal class ServiceEstimate {
    private var serviceSamples = 0
    private var pieceSamples = 0

    var meanServiceMs = INITIAL_SERVICE_MS
        private set

    var meanPieces = 1.0
        private set

    /** True once enough was observed to refuse work because of a forecast. */
    val reliable: Boolean get() = serviceSamples >= RELIABLE_SAMPLES

    fun observeServiceMs(serviceMs: Double) {
        serviceSamples++
        meanServiceMs += (serviceMs - meanServiceMs) * weight(serviceSamples)
    }

    fun observePieces(pieces: Int) {
        pieceSamples++
        // Calls of plain services take no memory, and the forecast divides by this mean.
        meanPieces += (maxOf(pieces, 1) - meanPieces) * weight(pieceSamples)
    }

    /** The first samples form a plain mean; after that the oldest fade. */
    private fun weight(samples: Int): Double = maxOf(1.0 / samples, SMALLEST_WEIGHT)

    private companion object {
        const val INITIAL_SERVICE_MS = 1_000.0
        const val RELIABLE_SAMPLES = 5
        const val SMALLEST_WEIGHT = 0.05
    }
}
