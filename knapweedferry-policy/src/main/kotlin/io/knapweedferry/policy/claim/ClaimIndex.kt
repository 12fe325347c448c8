package io.knapweedferry.policy.claim

import io.knapweedferry.api.ClaimId

/**
 * Folds the records of one claim stream, in log order, into the claim that stands for each key. All holders that read the
 * same records agree; a holder that may have missed records since a key was made says so instead of guessing. Not thread
 * safe.
 *
 * A claimer appends its claim, reads the stream up to that claim, and may dispatch only if [standing] is then
 * [ClaimStanding.WON].
 */
public class ClaimIndex(
    /** Age on the clock of the log beyond which claims are forgotten and keys refused. */
    private val horizonMs: Long,
    /** Bound on how far clocks of callers differ from the clock of the log, and on steps backwards of the latter. */
    private val maxClockSkewMs: Long,
    /** Keys to keep at most; beyond it the oldest are forgotten and keys of their age refused. */
    private val maxKeys: Int = DEFAULT_MAX_KEYS,
) {
    /** In order of the first claim. */
    private val byKey = LinkedHashMap<ClaimKey, KeyClaims>()
    private var coveredAfterMs = Long.MIN_VALUE
    private var logTimeMs = Long.MIN_VALUE

    /** Offset of the next record to apply; records before it are ignored. */
    public var nextOffset: Long = 0
        private set

    /** Keys with claims that are kept now. */
    public val size: Int get() = byKey.size

    /** Applies the record at [offset], or null for a record that could not be read. */
    public fun apply(
        offset: Long,
        atMs: Long,
        record: ClaimRecord?,
    ) {
        if (offset < nextOffset) return
        // What is missing was appended no later than this record.
        if (offset > nextOffset) loseUpTo(atMs)
        nextOffset = offset + 1
        val key = record?.let { ClaimKey.parse(it.key).getOrNull() }
        if (key != null) fold(key, record, offset, atMs)
        evict(atMs)
    }

    /** Notes that the log keeps nothing between [nextOffset] and [firstOffset] and held no later record at [nowMs]. */
    public fun skipTo(
        firstOffset: Long,
        nowMs: Long,
    ) {
        if (firstOffset <= nextOffset) return
        loseUpTo(nowMs)
        nextOffset = firstOffset
        evict(nowMs)
    }

    /** Which claim stands for [key]. */
    public fun answer(key: ClaimKey): ClaimAnswer {
        if (!coversKeyTime(key.madeAtMs)) return ClaimAnswer.NotCovered
        return byKey[key]?.winner ?: ClaimAnswer.Unclaimed
    }

    /** What became of the claim [id] for [key]. */
    public fun standing(
        key: ClaimKey,
        id: ClaimId,
    ): ClaimStanding {
        if (!coversKeyTime(key.madeAtMs)) return ClaimStanding.NOT_COVERED
        return byKey[key]?.standing(id) ?: ClaimStanding.NOT_SEEN
    }

    /**
     * Whether every claim for a key made at [keyTimeMs] would have been seen and is still kept. Claims lie at most one
     * clock difference before the time of their key, and the log may have stepped back once more before the first record
     * that was seen.
     */
    public fun coversKeyTime(keyTimeMs: Long): Boolean = coveredAfterMs == Long.MIN_VALUE || keyTimeMs - 2 * maxClockSkewMs > coveredAfterMs

    /**
     * Whether a claim appended at [atMs] counts for a key made at [keyTimeMs]. A key from the future would be covered for
     * longer than its claims are kept, so claims before its time are ignored as if they were not in the log.
     */
    public fun acceptsKeyTime(
        keyTimeMs: Long,
        atMs: Long,
    ): Boolean = keyTimeMs - atMs <= maxClockSkewMs

    private fun fold(
        key: ClaimKey,
        record: ClaimRecord,
        offset: Long,
        atMs: Long,
    ) {
        when (record) {
            is ClaimRecord.Claim -> {
                if (!acceptsKeyTime(key.madeAtMs, atMs)) return
                byKey.getOrPut(key) { KeyClaims(atMs) }.claim(ClaimAnswer.Claimed(record, offset, atMs))
            }

            is ClaimRecord.Void -> {
                byKey[key]?.void(record.claimId)
            }
        }
    }

    /** Forgets everything, because any claim so far may have been voided or joined by others in the missing records. */
    private fun loseUpTo(atMs: Long) {
        byKey.clear()
        coveredAfterMs = maxOf(coveredAfterMs, atMs)
    }

    private fun evict(atMs: Long) {
        logTimeMs = maxOf(logTimeMs, atMs)
        val horizonStartMs = logTimeMs - horizonMs
        coveredAfterMs = maxOf(coveredAfterMs, horizonStartMs)
        while (byKey.isNotEmpty()) {
            val (key, claims) = byKey.entries.first()
            if (claims.firstAtMs > horizonStartMs && byKey.size <= maxKeys) break
            byKey.remove(key)
            // Counts when the bound on keys, not the horizon, was the reason.
            coveredAfterMs = maxOf(coveredAfterMs, claims.firstAtMs)
        }
    }

    public companion object {
        /** Some hundred bytes for each key; keeps an index within a few tens of megabytes. */
        public const val DEFAULT_MAX_KEYS: Int = 50_000
    }
}
