package io.knapweedferry.policy.quota

/** Intervals of the exchange, which follow the number of entries so that the store serves a fleet of any size. */
internal class QuotaTiming(
    entries: Int,
) {
    private val scale = entries.toDouble() / REFERENCE_ENTRIES

    /** Between reports and between polls while an organisation is near its limit. */
    val fastS: Double = (FAST_S * scale).coerceIn(FAST_S, MAX_FAST_S)

    /** Between reports while an organisation uses a notable part of its limit. */
    val slowS: Double = (SLOW_S * scale).coerceIn(SLOW_S, MAX_SLOW_S)

    /** Between reports of an entry without changes while an organisation is near its limit: shows that the entry is not cut off. */
    val presenceS: Double = fastS * PRESENCE_FACTOR

    /**
     * While an organisation is near its limit, an entry that has not reported for so long is taken for cut off from the store,
     * and takes itself for cut off if its exchange has failed for so long.
     */
    val silentAfterS: Double = presenceS + fastS + TRANSIT_S

    companion object {
        /** The number of entries of the deployments for which the intervals are meant; assumed before the first exchange. */
        const val REFERENCE_ENTRIES = 30

        /** Between reports of an entry without use worth reporting. Shorter than the shortest silence limit of 5 s. */
        const val HEARTBEAT_S = 4.0

        /** Between polls while no organisation is near its limit. */
        const val CALM_POLL_S = 3.0
        private const val FAST_S = 0.4
        private const val MAX_FAST_S = 1.5
        private const val SLOW_S = 2.2
        private const val MAX_SLOW_S = 3.0
        private const val PRESENCE_FACTOR = 2.0

        /** Covers one slow call to the store (250 ms) and the check interval of the writer. */
        private const val TRANSIT_S = 0.4

        /** Without a successful exchange for so long an entry takes itself for cut off also while no organisation is near its limit. */
        const val CALM_FAILED_AFTER_S = HEARTBEAT_S + CALM_POLL_S + TRANSIT_S
    }
}
