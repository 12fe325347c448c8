package io.knapweedferry.policy.quota

import io.knapweedferry.api.OrganisationId
import kotlin.math.min
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/**
 * Decides which requests the quotas cover, and when to report and to read use. Without I/O; confined to one thread. The time
 * source must count the time in which the instance is suspended.
 */
public class QuotaLedger(
    private val node: String,
    /** Wall clock at the start of this process. */
    private val startedAtMs: Long,
    /** How long the use of a silent entry is predicted. */
    silenceLimitMs: Long,
    timeSource: TimeSource,
) {
    private val start = timeSource.markNow()
    private val silenceLimitS = silenceLimitMs / MS_PER_SECOND
    private val fleet = FleetMembers()
    private val buckets = LinkedHashMap<OrganisationId, FleetBucket>()
    private val reads = ExchangeHealth()
    private val writes = ExchangeHealth()
    private var hasSnapshot = false
    private var reportedAtS = Double.NEGATIVE_INFINITY
    private var reportedTotals = emptyMap<OrganisationId, Double>()
    private var lastReported = emptySet<OrganisationId>()
    private var riseAtS = Double.NEGATIVE_INFINITY
    private var isRiseUnreported = false

    private val nowS: Double get() = start.elapsedNow().toDouble(DurationUnit.SECONDS)

    /** Number of entries with this one. */
    public val entries: Int get() = fleet.entries

    /** True if this entry has not exchanged use with the others for so long that it limits itself to its share. */
    public val isExchangeFailed: Boolean get() = isExchangeFailed(nowS)

    /** True if an organisation has a limit. */
    public val hasLimits: Boolean get() = buckets.isNotEmpty()

    /** Time since the last successful read. */
    public val exchangeAgeMs: Long get() = ((nowS - (reads.succeededAtS ?: 0.0)) * MS_PER_SECOND).toLong()

    /** Applies the limits of a configuration at once; organisations without a limit are left out. */
    public fun applyLimits(limits: Map<OrganisationId, QuotaLimit>) {
        val now = nowS
        buckets.keys.retainAll(limits.keys)
        limits.forEach { (id, limit) ->
            buckets.getOrPut(id) { FleetBucket(limit, now, silenceLimitS, fleet) }.changeLimit(limit, now)
        }
    }

    /** Debits [cost] if the quota covers it. An organisation without a limit is always admitted. */
    public fun admit(
        organisation: OrganisationId,
        cost: Double,
    ): QuotaDecision {
        val bucket = buckets[organisation] ?: return QuotaDecision.Admitted
        val now = nowS
        updateNear(now)
        val decision = bucket.admit(cost, now, isExchangeFailed(now))
        detectRise(bucket, now)
        return decision
    }

    /** What [admit] would decide now; debits nothing and doesn't count as a request. */
    public fun preview(
        organisation: OrganisationId,
        cost: Double,
    ): QuotaDecision {
        val now = nowS
        return buckets[organisation]?.decide(cost, now, isExchangeFailed(now)) ?: QuotaDecision.Admitted
    }

    /** Returns the cost of a request that did not run. */
    public fun refund(
        organisation: OrganisationId,
        cost: Double,
    ) {
        buckets[organisation]?.refund(cost, nowS)
    }

    /** Amount that the replica of the bucket holds; null for an organisation without a limit. */
    public fun level(organisation: OrganisationId): Double? = buckets[organisation]?.also { it.advance(nowS) }?.level

    private fun isExchangeFailed(nowS: Double) = reads.isFailed(nowS, fleet.timing) || writes.isFailed(nowS, fleet.timing)

    /**
     * A rise of the load reaches all entries at about the same time, so its own load tells an entry before the first reports
     * can. Two requests in a second are a weak sign that leads to one report and few polls, at most every two seconds.
     */
    private fun detectRise(
        bucket: FleetBucket,
        nowS: Double,
    ) {
        if (bucket.extrapolatedShare(nowS, ignored = 1) <= FleetBucket.NEAR_SHARE) return
        val isStrong = bucket.extrapolatedShare(nowS, ignored = 2) > FleetBucket.NEAR_SHARE
        if (nowS - riseAtS < if (isStrong) fleet.timing.fastS else WEAK_SIGN_INTERVAL_S) return
        riseAtS = nowS
        isRiseUnreported = true
        reads.request(nowS)
        writes.request(nowS)
    }

    /** True if an organisation is near its limit, so that use must be exchanged quickly. */
    public fun isNear(): Boolean = updateNear(nowS)

    private fun updateNear(nowS: Double): Boolean {
        val isNear = buckets.values.any { it.isNear(nowS) }
        reads.setNear(isNear, nowS)
        writes.setNear(isNear, nowS)
        return isNear
    }

    /** Time between polls of the reports of others. */
    public fun pollPauseMs(): Long {
        val now = nowS
        val isFast = updateNear(now) || now - riseAtS < fleet.timing.fastS
        return ((if (isFast) fleet.timing.fastS else QuotaTiming.CALM_POLL_S) * MS_PER_SECOND).toLong()
    }

    /** The report to write now; null if none is due. */
    public fun dueReport(): UseReport? {
        if (!hasLimits) return null
        val now = nowS
        buckets.values.forEach { it.advance(now) }
        return if (isRiseUnreported || now - reportedAtS >= reportIntervalS(now)) report() else null
    }

    private fun reportIntervalS(nowS: Double): Double {
        val changed = buckets.filter { (id, bucket) -> bucket.total != (reportedTotals[id] ?: 0.0) }.values
        val timing = fleet.timing
        val changedS =
            when {
                changed.any { it.isNear(nowS) } -> timing.fastS
                changed.any { it.isNotable(nowS) } -> timing.slowS
                else -> QuotaTiming.HEARTBEAT_S
            }
        // The first write after an outage ends the time in which this entry limits itself.
        val isUrgent = updateNear(nowS) || (writes.succeededAtS != null && writes.isFailed(nowS, timing))
        return if (isUrgent) min(timing.presenceS, changedS) else changedS
    }

    /** The current report, whether or not one is due. */
    public fun report(): UseReport {
        val now = nowS
        isRiseUnreported = false
        reportedAtS = now
        reportedTotals = buckets.mapValues { it.value.total }
        // An organisation whose use has become small is reported once more, so that the others don't keep the former rate.
        val reported = buckets.filter { (id, bucket) -> bucket.isReportable(now) || id in lastReported }
        lastReported = reported.filterValues { it.isReportable(now) }.keys
        return UseReport(node, startedAtMs, reported.mapValues { it.value.ownUse(now) }, (now * MS_PER_SECOND).toLong())
    }

    /** Records that the store acknowledged [report], which was made [ageMs] ago. */
    public fun onAcknowledged(
        report: UseReport,
        ageMs: Long,
    ) {
        val now = nowS
        val madeAtS = now - ageMs / MS_PER_SECOND
        writes.recordSuccess(madeAtS)
        buckets.forEach { (id, bucket) -> bucket.onAcknowledged(madeAtS, report.uses[id], now) }
    }

    /** Applies reports of a successful read; [isSnapshot] if they are the latest ones of all entries. */
    public fun onReports(
        reports: List<UseReport>,
        isSnapshot: Boolean,
    ) {
        val now = nowS
        buckets.values.forEach { it.advance(now) }
        // After a gap a read returns many reports of an entry. The last one has the totals of all; the others would count as recent.
        val last = reports.filter { it.node != node }.associateBy { it.node to it.startedAtMs }.values
        last.forEach { apply(it, now) }
        if (isSnapshot) hasSnapshot = true
        fleet.removeOlderThan(now, MEMBER_TIMEOUT_S).forEach { ended -> buckets.values.forEach { it.forget(ended) } }
        fleet.recount()
        buckets.values.forEach { it.recount() }
        reads.recordSuccess(now)
    }

    private fun apply(
        report: UseReport,
        nowS: Double,
    ) {
        val known = fleet[report.node]
        if (known != null && known.startedAtMs > report.startedAtMs) return
        if (known != null && known.startedAtMs == report.startedAtMs && known.uptimeMs > report.uptimeMs) return
        val origin =
            when {
                known != null && known.startedAtMs == report.startedAtMs -> ReportOrigin.SAME_INCARNATION
                hasSnapshot && (known != null || report.startedAtMs > startedAtMs) -> ReportOrigin.NEW_INCARNATION
                else -> ReportOrigin.BASELINE
            }
        buckets.forEach { (id, bucket) -> bucket.onReport(report, report.uses[id], origin, nowS) }
        fleet[report.node] = PeerState(report.startedAtMs, nowS, report.uptimeMs)
    }

    private companion object {
        const val MS_PER_SECOND = 1_000.0

        /** Several heartbeats. */
        const val MEMBER_TIMEOUT_S = 15.0
        const val WEAK_SIGN_INTERVAL_S = 2.0
    }
}
