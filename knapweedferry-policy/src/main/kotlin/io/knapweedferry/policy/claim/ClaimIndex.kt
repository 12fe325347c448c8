package io.knapweedferry.policy.claim

import io.knapweedferry.api.ClaimId

/**
 * Materialises one claim stream: applies its records in log order and keeps the winning claim of each key. All instances
 * that read the same records agree. An instance that may have missed records since a key was created reports that the key
 * is not covered. Not thread safe.
 *
 * A claimer appends its claim, reads the stream up to and including that record, and may dispatch only if [resolution] then
 * returns [ClaimResolution.WON].
 */
public class ClaimIndex(
    /** Age, on the clock of the log, after which claims are removed and their keys refused. */
    private val retentionMs: Long,
    /** Upper bound of the difference between the clocks of callers and of the log, and of backward steps of the latter. */
    private val maxClockSkewMs: Long,
    /** Maximum number of keys. Beyond it the oldest are removed, and keys of the same age or older are refused. */
    private val maxKeys: Int = DEFAULT_MAX_KEYS,
) {
    /** In the order of the first claim of each key. */
    private val byKey = LinkedHashMap<ClaimKey, KeyClaims>()
    private var coveredAfterMs = Long.MIN_VALUE
    private var logTimeMs = Long.MIN_VALUE

    /** Offset of the next record to apply; earlier records are ignored. */
    public var nextOffset: Long = 0
        private set

    /** Number of keys with claims in the index. */
    public val size: Int get() = byKey.size

    /** Applies the record at [offset], appended at [atMs]. A null [record] stands for one that could not be read. */
    public fun apply(
        offset: Long,
        atMs: Long,
        record: ClaimRecord?,
    ) {
        if (offset < nextOffset) return
        // The missing records were appended no later than this one.
        if (offset > nextOffset) invalidateUpTo(atMs)
        nextOffset = offset + 1
        val key = record?.let { ClaimKey.parse(it.key).getOrNull() }
        if (key != null) applyToKey(key, record, offset, atMs)
        evict(atMs)
    }

    /**
     * Records that the log has dropped everything between [nextOffset] and [firstOffset] and had no later record at
     * [nowMs].
     */
    public fun skipTo(
        firstOffset: Long,
        nowMs: Long,
    ) {
        if (firstOffset <= nextOffset) return
        invalidateUpTo(nowMs)
        nextOffset = firstOffset
        evict(nowMs)
    }

    /** Returns the state of [key]. */
    public fun state(key: ClaimKey): ClaimKeyState {
        if (!coversKeyTime(key.createdAtMs)) return ClaimKeyState.NotCovered
        return byKey[key]?.winner ?: ClaimKeyState.Unclaimed
    }

    /** Returns the resolution of the claim [id] for [key]. */
    public fun resolution(
        key: ClaimKey,
        id: ClaimId,
    ): ClaimResolution {
        if (!coversKeyTime(key.createdAtMs)) return ClaimResolution.NOT_COVERED
        return byKey[key]?.resolution(id) ?: ClaimResolution.NOT_SEEN
    }

    /**
     * Whether every claim for a key created at [keyTimeMs] was seen and is still kept. A claim can precede the time of its
     * key by at most the clock skew, and the log clock may have stepped back by as much before the first record that was
     * seen.
     */
    public fun coversKeyTime(keyTimeMs: Long): Boolean = coveredAfterMs == Long.MIN_VALUE || keyTimeMs - 2 * maxClockSkewMs > coveredAfterMs

    /**
     * Whether a claim appended at [atMs] counts for a key created at [keyTimeMs]. A key from the future would be covered
     * for longer than its claims are kept, so claims that precede it by more than the clock skew are ignored.
     */
    public fun acceptsKeyTime(
        keyTimeMs: Long,
        atMs: Long,
    ): Boolean = keyTimeMs - atMs <= maxClockSkewMs

    private fun applyToKey(
        key: ClaimKey,
        record: ClaimRecord,
        offset: Long,
        atMs: Long,
    ) {
        when (record) {
            is ClaimRecord.Claim -> {
                if (!acceptsKeyTime(key.createdAtMs, atMs)) return
                byKey.getOrPut(key) { KeyClaims(atMs) }.claim(ClaimKeyState.Claimed(record, offset, atMs))
            }

            is ClaimRecord.Void -> {
                byKey[key]?.void(record.claimId)
            }
        }
    }

    /** Clears the index, because the missing records may void any claim so far or contain further claims. */
    private fun invalidateUpTo(atMs: Long) {
        byKey.clear()
        coveredAfterMs = maxOf(coveredAfterMs, atMs)
    }

    private fun evict(atMs: Long) {
        logTimeMs = maxOf(logTimeMs, atMs)
        val retentionStartMs = logTimeMs - retentionMs
        coveredAfterMs = maxOf(coveredAfterMs, retentionStartMs)
        while (byKey.isNotEmpty()) {
            val (key, claims) = byKey.entries.first()
            if (claims.firstClaimAtMs > retentionStartMs && byKey.size <= maxKeys) break
            byKey.remove(key)
            // Has an effect only if the key was removed because of [maxKeys] rather than its age.
            coveredAfterMs = maxOf(coveredAfterMs, claims.firstClaimAtMs)
        }
    }

    public companion object {
        /** Keeps an index within a few tens of megabytes, at some hundred bytes per key. */
        public const val DEFAULT_MAX_KEYS: Int = 50_000
    }
}
