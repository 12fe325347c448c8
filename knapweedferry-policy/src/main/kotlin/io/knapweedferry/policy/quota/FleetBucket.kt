package io.knapweedferry.policy.quota

import kotlin.math.ceil
import kotlin.math.max
import kotlin.math.min

/**
 * Replica of the fleet-wide token bucket of one organisation. Own admissions are debited at once, those of other entries as
 * predicted until they are reported. Times are seconds on the clock of the ledger.
 */
internal class FleetBucket(
    limit: QuotaLimit,
    private var updatedAtS: Double,
    private val silenceLimitS: Double,
    private val fleet: FleetMembers,
) {
    var limit = limit
        private set

    /** Negative while the fleet has used more than its quota. */
    var level = 0.0
        private set
    private var credit = 0.0
    private var acknowledgedAtS = updatedAtS

    /** Part of the limit that the others reserve for this entry while it is silent. */
    private var ownShare = 1.0 / QuotaTiming.REFERENCE_ENTRIES
    private val peers = PeerUses(updatedAtS, silenceLimitS)
    private val ownRate = DecayingRate(RATE_TIME_CONSTANT_S, updatedAtS)
    private val ownSteady = DecayingRate(DEMAND_TIME_CONSTANT_S, updatedAtS)
    private val ownDemand = DecayingRate(DEMAND_TIME_CONSTANT_S, updatedAtS)
    private var largestCost = 0.0
    private val lost = DecayingRate(LOST_TIME_CONSTANT_S, updatedAtS)

    private var lastRequestAtS = updatedAtS

    /** Admitted by this entry, less refunds. */
    var total = 0.0
        private set

    /** Applies a new limit at once. */
    fun changeLimit(
        newLimit: QuotaLimit,
        nowS: Double,
    ) {
        if (newLimit == limit) return
        advance(nowS)
        limit = newLimit
        level = min(level, limit.burst)
        credit = min(credit, limit.burst)
    }

    /** [isExchangeFailed] if this entry must limit itself to what the others reserve for it. */
    fun admit(
        cost: Double,
        nowS: Double,
        isExchangeFailed: Boolean,
    ): QuotaDecision {
        advance(nowS)
        lastRequestAtS = nowS
        largestCost = max(cost, largestCost * LARGEST_COST_DECAY)
        ownDemand.add(cost, nowS)
        val decision = decide(cost, nowS, isExchangeFailed)
        if (decision is QuotaDecision.Admitted) debitOwn(cost, nowS)
        return decision
    }

    /** The decision about a request of [cost], without a debit. */
    fun decide(
        cost: Double,
        nowS: Double,
        isExchangeFailed: Boolean,
    ): QuotaDecision {
        advance(nowS)
        // A request may overdraw the credit: the share of one entry may be smaller than one request.
        val missingCredit = if (credit > 0) 0.0 else -credit + limit.ratePerSecond / fleet.entries * MIN_CREDIT_S
        val missing = if (isExchangeFailed) missingCredit else min(cost, limit.burst) - level
        if (missing > 0) {
            val perSecond = if (isExchangeFailed) creditPerSecond(nowS) else limit.ratePerSecond
            // Rounded up: a caller that returns after exactly this time must find the quota refilled.
            return QuotaDecision.Refused(ceil(missing / perSecond * MS_PER_SECOND).toLong().coerceIn(MIN_WAIT_MS, MAX_WAIT_MS))
        }
        return QuotaDecision.Admitted
    }

    /** Returns the cost of a request that did not run. */
    fun refund(
        cost: Double,
        nowS: Double,
    ) {
        advance(nowS)
        debitOwn(-cost, nowS)
        level = min(level, limit.burst)
        credit = min(credit, limit.burst)
    }

    private fun debitOwn(
        cost: Double,
        nowS: Double,
    ) {
        level -= cost
        credit -= cost
        total += cost
        ownRate.add(cost, nowS)
        ownSteady.add(cost, nowS)
    }

    /** Refills the bucket and debits the predicted use of the other entries up to [nowS]. */
    fun advance(nowS: Double) {
        val elapsedS = nowS - updatedAtS
        if (elapsedS <= 0) return
        val debit = peers.advance(nowS, fleet.timing.silentAfterS, if (isNear(nowS)) limit.ratePerSecond else null)
        val filled = level + limit.ratePerSecond * elapsedS - debit
        level = min(limit.burst, filled)
        lost.add(filled - level, nowS)
        val creditCap = ownShare * max(limit.burst, limit.ratePerSecond * MIN_CREDIT_S) + 2 * largestCost
        credit = min(creditCap, credit + creditPerSecond(nowS) * elapsedS)
        updatedAtS = nowS
    }

    private fun creditPerSecond(nowS: Double): Double {
        val isReserved = nowS - acknowledgedAtS < silenceLimitS
        return ownShare * limit.ratePerSecond * (if (isReserved) 1.0 else UNRESERVED_SHARE)
    }

    /** The part of the limit for an entry with [demandPerSecond]; a small part is the same for all, because load moves. */
    private fun share(
        demandPerSecond: Double,
        nowS: Double,
    ): Double {
        val sum = ownDemand.perSecond(nowS) + peers.demandPerSecond
        if (sum <= 0) return 1.0 / fleet.entries
        return (1 - EQUAL_SHARE) * demandPerSecond / sum + EQUAL_SHARE / fleet.entries
    }

    /**
     * Records that the other entries can read a report of this one that was made at [reportedAtS]; [use] is null if it left this
     * organisation out.
     */
    fun onAcknowledged(
        reportedAtS: Double,
        use: OrganisationUse?,
        nowS: Double,
    ) {
        advance(nowS)
        acknowledgedAtS = reportedAtS
        ownShare = share(use?.demandPerSecond ?: 0.0, nowS)
        credit = ownShare * level.coerceIn(0.0, limit.burst) - (total - (use?.total ?: total))
    }

    /** Replaces the prediction for the entry of [report]; [use] is null if the report leaves the organisation out. */
    fun onReport(
        report: UseReport,
        use: OrganisationUse?,
        origin: ReportOrigin,
        nowS: Double,
    ) {
        val former = peers.of(report.node)
        if (origin != ReportOrigin.BASELINE) {
            val increase = if (use == null) 0.0 else former.increase(use, origin == ReportOrigin.NEW_INCARNATION)
            settle(increase - peers.debited(former, nowS), use, former.isAfterGap(report, use, fleet.heardAtS(report.node), nowS))
        }
        val peer = peers.replace(report, use)
        peer.share = share(peer.demandPerSecond, nowS)
    }

    /**
     * After a gap the report does not say when the use was. The bucket has refilled meanwhile, so only recent use is debited,
     * and predicted use is not returned. Tokens that were lost shortly before because the bucket was full would not have been lost
     * if the use had been known at once.
     */
    private fun settle(
        correction: Double,
        use: OrganisationUse?,
        isAfterGap: Boolean,
    ) {
        val recent = (use?.ratePerSecond ?: 0.0) * RECENT_S
        val debit = if (isAfterGap) correction.coerceIn(0.0, recent) else correction
        val recovered = min(debit, lost.recent(updatedAtS)).coerceAtLeast(0.0)
        lost.add(-recovered, updatedAtS)
        level = min(limit.burst, level - debit + recovered)
    }

    fun forget(node: String) = peers.forget(node)

    /** Called after the reports of a read. */
    fun recount() = peers.recount()

    fun ownUse(nowS: Double) = OrganisationUse(total, ownRate.perSecond(nowS), ownSteady.perSecond(nowS), ownDemand.perSecond(nowS))

    /**
     * Use of all entries as a share of the limit, over the last second or the last ten, whichever is higher. Two large requests are
     * left out, because the requests of a small organisation are so rare that one of them exceeds its limit for a second.
     */
    fun usedShare(nowS: Double): Double {
        val rate = ownRate.perSecond(nowS) + peers.expectedPerSecond(nowS)
        val demand = ownDemand.perSecond(nowS) + peers.predictedDemandPerSecond(nowS)
        val ignored = 2 * largestCost
        return max(rate - ignored / RATE_TIME_CONSTANT_S, demand - ignored / DEMAND_TIME_CONSTANT_S) / limit.ratePerSecond
    }

    /** Use of all entries as a share of the limit if the others had the load of this one, with [ignored] large requests left out. */
    fun extrapolatedShare(
        nowS: Double,
        ignored: Int,
    ): Double = (ownRate.recent(nowS) - ignored * largestCost) / RATE_TIME_CONSTANT_S * fleet.entries / limit.ratePerSecond

    fun isNear(nowS: Double): Boolean = level < limit.burst * LOW_LEVEL_SHARE - 2 * largestCost || usedShare(nowS) > NEAR_SHARE

    fun isNotable(nowS: Double): Boolean = usedShare(nowS) > NOTABLE_SHARE || extrapolatedShare(nowS, 1) > NOTABLE_SHARE

    /** True if the use belongs in a report that is made anyway. */
    fun isReportable(nowS: Double): Boolean =
        nowS - lastRequestAtS < ACTIVE_S && (usedShare(nowS) > REPORTED_SHARE || extrapolatedShare(nowS, 1) > REPORTED_SHARE)

    companion object {
        /** Share of the limit above which reports are frequent. */
        const val NEAR_SHARE = 0.75

        /** Share of the limit below which use is not reported: the bucket refills four times as fast. */
        const val NOTABLE_SHARE = 0.25
        private const val LOW_LEVEL_SHARE = 0.4

        /** Short enough to follow a rise within a second, although an entry often sees less than one request per second. */
        private const val RATE_TIME_CONSTANT_S = 1.0
        private const val DEMAND_TIME_CONSTANT_S = 10.0

        /** Use older than this at a report after a gap was covered by the refill of the gap. */
        private const val RECENT_S = 2.0
        private const val LOST_TIME_CONSTANT_S = 1.0

        private const val REPORTED_SHARE = 0.05
        private const val ACTIVE_S = 10.0
        private const val EQUAL_SHARE = 0.5

        /** Part of its share that an entry uses once the others no longer reserve it; see docs/design/quotas.md for the bound. */
        private const val UNRESERVED_SHARE = 0.7
        private const val LARGEST_COST_DECAY = 0.98
        private const val MIN_CREDIT_S = 0.05
        private const val MS_PER_SECOND = 1_000.0
        private const val MIN_WAIT_MS = 20L
        private const val MAX_WAIT_MS = 30_000L
    }
}
