package io.knapweedferry.sidecar.server

import io.knapweedferry.api.ClaimId
import io.knapweedferry.api.ClaimRef
import io.knapweedferry.api.IdempotencyKey
import io.knapweedferry.api.message.ServiceAnswer
import kotlinx.coroutines.CompletableDeferred
import java.util.UUID

/**
 * Decides, for each claim, once between dispatching it and refusing it. A claim that was dispatched is never forgotten
 * without a trace: entries dropped to bound memory leave behind the time of their newest key, and a claim that is not known
 * and not newer than that counts as [ClaimEntry.Unknown].
 */
internal class ClaimTable(
    private val clock: MonotonicClock,
    private val keepMs: Long,
    private val maxEntries: Int = MAX_ENTRIES,
) {
    private val slots = LinkedHashMap<ClaimId, Slot>()
    private var newestEvictedKeyMs: Long? = null

    /** Null if the caller now must dispatch the claim; otherwise why it must not. */
    fun dispatch(claim: ClaimRef): ClaimEntry? = decide(claim, ClaimEntry.InProgress)

    /** Marks a claim that was never dispatched as refused, and returns what is known of it then. */
    fun refuse(claim: ClaimRef): ClaimEntry = ClaimEntry.Refused(voided = false).let { decide(claim, it) ?: it }

    /** Records that the void of a refused claim is in the log. */
    fun recordVoided(claim: ClaimRef) = settle(claim, ClaimEntry.Refused(voided = true))

    /** Records the answer to a dispatched claim. */
    fun recordAnswer(
        claim: ClaimRef,
        answer: ServiceAnswer,
    ) = settle(claim, ClaimEntry.Done(answer, clock.nowMs() + keepMs))

    /** Records that it is not known whether a dispatched claim took effect. */
    fun recordUnknownOutcome(claim: ClaimRef) = settle(claim, ClaimEntry.Unknown)

    /** Records that a dispatched claim surely had no effect, so that it may be voided. */
    fun recordNotSent(claim: ClaimRef) = settle(claim, ClaimEntry.Refused(voided = false))

    /** What is known of a claim, or null. */
    fun find(claim: ClaimRef): ClaimEntry? = synchronized(slots) { known(claim) }

    /** Waits until a claim that is being dispatched has an outcome, and returns it. */
    suspend fun awaitSettled(claim: ClaimRef): ClaimEntry? {
        synchronized(slots) { slots[claim.claimId]?.takeIf { it.entry == ClaimEntry.InProgress } }?.settled?.await()
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

    private fun settle(
        claim: ClaimRef,
        entry: ClaimEntry,
    ) {
        val slot = synchronized(slots) { slots[claim.claimId]?.also { it.entry = entry } }
        slot?.settled?.complete(Unit)
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

    /** Keys that carry no time count as older than all others. */
    private fun keyTimeMs(key: IdempotencyKey): Long {
        val uuid = runCatching { UUID.fromString(key.value) }.getOrNull()
        if (uuid == null || uuid.version() != TIME_ORDERED_UUID_VERSION) return Long.MIN_VALUE
        return uuid.mostSignificantBits ushr UUID_TIME_SHIFT_BITS
    }

    private class Slot(
        val key: IdempotencyKey,
        var entry: ClaimEntry,
    ) {
        val settled = CompletableDeferred<Unit>()
    }

    companion object {
        /** About 10 MB, or half a day at one claim a second. */
        private const val MAX_ENTRIES = 40_000
        private const val TIME_ORDERED_UUID_VERSION = 7

        /** A version 7 UUID begins with 48 bits of Unix time in milliseconds. */
        private const val UUID_TIME_SHIFT_BITS = 16
    }
}
