package io.knapweedferry.policy.quota

import kotlin.math.exp

/** Last reported use of one organisation by another entry, and what was debited for it since. */
internal class PeerUse {
    private var last = NONE

    /** When the last report was received, whether or not it has the organisation. */
    var receivedAtS = 0.0
        private set

    /** Null before the first report with the organisation. */
    private var reportedAtS: Double? = null

    /** [UseReport.uptimeMs] of the last report with the organisation. */
    private var reportedUptimeMs = 0L

    /** Part of the limit that is reserved for the entry while it is silent. */
    var share = 0.0

    /** Debited since the last report beyond the expected use, because the entry was silent. */
    var reserved = 0.0
    val demandPerSecond: Double get() = last.demandPerSecond
    val steadyPerSecond: Double get() = last.steadyPerSecond

    /** Increase of the total that [use] reports. */
    fun increase(
        use: OrganisationUse,
        isNewIncarnation: Boolean,
    ): Double = if (isNewIncarnation) use.total else use.total - last.total

    /** Replaces the values by those of a report; null if it leaves the organisation out. */
    fun replace(
        use: OrganisationUse?,
        uptimeMs: Long,
        nowS: Double,
    ) {
        if (use != null) {
            reportedAtS = nowS
            reportedUptimeMs = uptimeMs
        }
        last = use ?: NONE.copy(total = last.total)
        receivedAtS = nowS
        reserved = 0.0
    }

    /**
     * True if [report] is so long after the last one that it doesn't say when [use] was. The last one may have been read long after
     * it was made, so the time between the two counts as well. [heardAtS] is the time of the last report with or without [use].
     */
    fun isAfterGap(
        report: UseReport,
        use: OrganisationUse?,
        heardAtS: Double?,
        nowS: Double,
    ): Boolean {
        val lastAtS = (if (use == null) heardAtS else reportedAtS) ?: return true
        return nowS - lastAtS > GAP_S || (use != null && (report.uptimeMs - reportedUptimeMs) / MS_PER_SECOND > GAP_S)
    }

    /**
     * Expected use per second at [nowS]. Reports are made soon after requests, so the rate of the last second is too high in the
     * long run; the expectation returns to the steady rate.
     */
    fun expectedPerSecond(nowS: Double): Double = last.steadyPerSecond + excessPerSecond(nowS)

    /** Difference of the expected and the steady rate at [nowS]. */
    fun excessPerSecond(nowS: Double): Double = (last.ratePerSecond - last.steadyPerSecond) * decay(nowS - receivedAtS)

    /** Expected use between two times. */
    fun expectedBetween(
        fromS: Double,
        untilS: Double,
    ): Double = last.steadyPerSecond * (untilS - fromS) + excessPerSecond(fromS) * decayIntegral(untilS - fromS)

    companion object {
        private val NONE = OrganisationUse(0.0, 0.0, 0.0, 0.0)
        private const val RETURN_TIME_CONSTANT_S = 1.0

        /** Longer than the interval of reports without use worth reporting, with the pause between polls. */
        private const val GAP_S = 5.5
        private const val MS_PER_SECOND = 1_000.0

        /** Part of the excess that is left after [seconds]. */
        fun decay(seconds: Double): Double = exp(-seconds / RETURN_TIME_CONSTANT_S)

        /** Seconds at the initial rate that an excess adds up to within [seconds]. */
        fun decayIntegral(seconds: Double): Double = RETURN_TIME_CONSTANT_S * (1 - decay(seconds))
    }
}
