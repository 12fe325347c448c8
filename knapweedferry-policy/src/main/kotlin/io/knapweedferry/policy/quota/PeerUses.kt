package io.knapweedferry.policy.quota

import kotlin.math.max
import kotlin.math.min

/**
 * Use of one organisation by the other entries, as reported and as predicted since. Sums are kept up to date, so that the time for a
 * decision doesn't grow with the number of entries; only entries that have become silent are visited. Times are seconds on the
 * clock of the ledger.
 */
internal class PeerUses(
    private var updatedAtS: Double,
    private val silenceLimitS: Double,
) {
    /** Entries whose use is predicted, those with the oldest reports first. */
    private val predicted = LinkedHashMap<String, PeerUse>()

    /** Entries that have been silent for longer than the silence limit. */
    private val silent = HashMap<String, PeerUse>()
    private var steadyPerSecond = 0.0

    /** Difference of the expected and the steady rate at [updatedAtS]; decays with the same time constant for all entries. */
    private var excessPerSecond = 0.0
    private var predictedDemandPerSecond = 0.0
    private var silentDemandPerSecond = 0.0

    /** Demand of all known entries. */
    val demandPerSecond: Double get() = predictedDemandPerSecond + silentDemandPerSecond

    fun of(node: String): PeerUse = predicted[node] ?: silent[node] ?: PeerUse()

    /**
     * Returns the use between the last call and [nowS]. At entries that have been silent for [silentAfterS] it is their part of
     * [reservedPerSecond] if that is more; null if nothing is reserved.
     */
    fun advance(
        nowS: Double,
        silentAfterS: Double,
        reservedPerSecond: Double?,
    ): Double {
        val elapsedS = nowS - updatedAtS
        var used = steadyPerSecond * elapsedS + excessPerSecond * PeerUse.decayIntegral(elapsedS)
        if (reservedPerSecond != null) used += reserve(nowS, silentAfterS, reservedPerSecond)
        excessPerSecond *= PeerUse.decay(elapsedS)
        updatedAtS = nowS
        return used - endPredictions(nowS)
    }

    private fun reserve(
        nowS: Double,
        silentAfterS: Double,
        reservedPerSecond: Double,
    ): Double {
        var reserved = 0.0
        for (use in predicted.values) {
            if (nowS - use.receivedAtS <= silentAfterS) break
            val untilS = min(nowS, use.receivedAtS + silenceLimitS)
            val missing = use.share * reservedPerSecond * (untilS - updatedAtS) - use.expectedBetween(updatedAtS, untilS)
            use.reserved += max(0.0, missing)
            reserved += max(0.0, missing)
        }
        return reserved
    }

    /** Ends the predictions that have reached the silence limit and returns what was counted for them since. */
    private fun endPredictions(nowS: Double): Double {
        var excess = 0.0
        while (true) {
            val (node, use) = predicted.entries.firstOrNull()?.takeIf { it.value.receivedAtS + silenceLimitS <= nowS } ?: return excess
            excess += use.expectedBetween(use.receivedAtS + silenceLimitS, nowS)
            remove(node)
            silent[node] = use
            silentDemandPerSecond += use.demandPerSecond
        }
    }

    /** What was debited for [use] since its last report. */
    fun debited(
        use: PeerUse,
        nowS: Double,
    ): Double = use.reserved + use.expectedBetween(use.receivedAtS, min(nowS, use.receivedAtS + silenceLimitS))

    /** Expected use of all entries per second. */
    fun expectedPerSecond(nowS: Double): Double =
        steadyPerSecond + excessPerSecond * PeerUse.decay(nowS - updatedAtS) - ending(nowS).sumOf { it.expectedPerSecond(nowS) }

    /** Demand of the entries whose use is predicted. */
    fun predictedDemandPerSecond(nowS: Double): Double = predictedDemandPerSecond - ending(nowS).sumOf { it.demandPerSecond }

    /** Entries whose prediction ends between the last call of [advance] and [nowS]. */
    private fun ending(nowS: Double) = predicted.values.asSequence().takeWhile { nowS - it.receivedAtS >= silenceLimitS }

    /** Replaces the values of the entry of [report] by [use]; null if it leaves the organisation out. Call [advance] before. */
    fun replace(
        report: UseReport,
        use: OrganisationUse?,
    ): PeerUse {
        val peer = remove(report.node) ?: PeerUse()
        peer.replace(use, report.uptimeMs, updatedAtS)
        predicted[report.node] = peer
        count(peer)
        return peer
    }

    fun forget(node: String) {
        remove(node)
    }

    private fun remove(node: String): PeerUse? {
        silent.remove(node)?.let {
            silentDemandPerSecond -= it.demandPerSecond
            return it
        }
        val use = predicted.remove(node) ?: return null
        steadyPerSecond -= use.steadyPerSecond
        excessPerSecond -= use.excessPerSecond(updatedAtS)
        predictedDemandPerSecond -= use.demandPerSecond
        return use
    }

    private fun count(use: PeerUse) {
        steadyPerSecond += use.steadyPerSecond
        excessPerSecond += use.excessPerSecond(updatedAtS)
        predictedDemandPerSecond += use.demandPerSecond
    }

    /** Computes the sums anew, so that rounding errors don't add up. */
    fun recount() {
        steadyPerSecond = 0.0
        excessPerSecond = 0.0
        predictedDemandPerSecond = 0.0
        predicted.values.forEach(::count)
        silentDemandPerSecond = silent.values.sumOf { it.demandPerSecond }
    }
}
