package io.knapweedferry.sidecar.server

import io.knapweedferry.api.ClaimId
import io.knapweedferry.api.ClaimRef
import io.knapweedferry.api.IdempotencyKey
import io.knapweedferry.api.message.ServiceAnswer
import kotlinx.coroutines.CompletableDeferred
import java.util.UUID

/**
 * Decides exactly once for each claim whether it is dispatched or refused. When entries are evicted to bound memory, the
 * table retains the timestamp of the newest evicted key: an absent claim whose key is not newer may have been dispatched
 * and counts as [ClaimEntry.Unknown].
 */
internal class ClaimTable(
    private val clock: MonotonicClock,
    private val keepMs: Long,
    private val maxEntries: Int = MAX_ENTRIES,
) {
    private val slots = LinkedHashMap<ClaimId, Slot>()
    private var newestEvictedKeyMs: Long? = null

    /** Returns null if the caller must dispatch the claim now, or the existing entry that forbids it. */
    fun dispatch(claim: ClaimRef): ClaimEntry? = decide(claim, ClaimEntry.InProgress)

    /** Refuses a claim that was not dispatched; returns the resulting entry. */
    fun refuse(claim: ClaimRef): ClaimEntry = ClaimEntry.Refused(voided = false).let { decide(claim, it) ?: it }

    /** Records that the void of a refused claim was appended to the log. */
    fun recordVoided(claim: ClaimRef) = resolve(claim, ClaimEntry.Refused(voided = true))

    fun recordAnswer(
        claim: ClaimRef,
        answer: ServiceAnswer,
    ) = resolve(claim, ClaimEntry.Done(answer, clock.nowMs() + keepMs))

    /** Records that a dispatched claim may have taken effect. */
    fun recordUnknownOutcome(claim: ClaimRef) = resolve(claim, ClaimEntry.Unknown)

    /** Records that a dispatched claim had no effect, so that it may be voided. */
    fun recordNotSent(claim: ClaimRef) = resolve(claim, ClaimEntry.Refused(voided = false))

    /** Entry of a claim, or null if it was never seen. */
    fun find(claim: ClaimRef): ClaimEntry? = synchronized(slots) { known(claim) }

    /** Waits for the outcome of a claim that is in progress; returns its entry. */
    suspend fun awaitOutcome(claim: ClaimRef): ClaimEntry? {
        synchronized(slots) { slots[claim.claimId]?.takeIf { it.entry == ClaimEntry.InProgress } }?.resolved?.await()
        return find(claim)
    }

    private fun decide(
        claim: ClaimRef,
        entry: ClaimEntry,
    ): ClaimEntry? =
        synchronized(slots) {
            val known = known(claim)
            if (known == null) {
                slots[claim.claimId] = Slot(claim.key, entry)
                evictExcess()
            }
            known
        }

    private fun resolve(
        claim: ClaimRef,
        entry: ClaimEntry,
    ) {
        val slot = synchronized(slots) { slots[claim.claimId]?.also { it.entry = entry } }
        slot?.resolved?.complete(Unit)
    }

    private fun known(claim: ClaimRef): ClaimEntry? {
        val slot = slots[claim.claimId]
        if (slot == null) return if (mayBeEvicted(claim.key)) ClaimEntry.Unknown else null
        val entry = slot.entry
        if (entry is ClaimEntry.Done && entry.keepUntilMs <= clock.nowMs()) slot.entry = ClaimEntry.Unknown
        return slot.entry
    }

    private fun mayBeEvicted(key: IdempotencyKey): Boolean {
        val newestMs = newestEvictedKeyMs ?: return false
        return keyTimeMs(key) <= newestMs
    }

    private fun evictExcess() {
        val oldest = slots.values.iterator()
        while (slots.size > maxEntries && oldest.hasNext()) {
            val slot = oldest.next()
            if (slot.entry == ClaimEntry.InProgress) continue
            oldest.remove()
            newestEvictedKeyMs = maxOf(newestEvictedKeyMs ?: Long.MIN_VALUE, keyTimeMs(slot.key))
        }
    }

    /** Keys without a timestamp count as older than all others. */
    private fun keyTimeMs(key: IdempotencyKey): Long {
        val uuid = runCatching { UUID.fromString(key.value) }.getOrNull()
        if (uuid == null || uuid.version() != TIME_ORDERED_UUID_VERSION) return Long.MIN_VALUE
        return uuid.mostSignificantBits ushr UUID_TIME_SHIFT_BITS
    }

    private class Slot(
        val key: IdempotencyKey,
        var entry: ClaimEntry,
    ) {
        val resolved = CompletableDeferred<Unit>()
    }

    companion object {
        /** About 10 MB, or half a day at one claim per second. */
        private const val MAX_ENTRIES = 40_000
        private const val TIME_ORDERED_UUID_VERSION = 7

        /** A version 7 UUID starts with a 48-bit Unix timestamp in milliseconds. */
        private const val UUID_TIME_SHIFT_BITS = 16
    }
}
