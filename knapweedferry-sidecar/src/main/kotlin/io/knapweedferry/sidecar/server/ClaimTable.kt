package io.knapweedferry.sidecar.server

import io.knapweedferry.api.ClaimId
import io.knapweedferry.api.ClaimRef
import io.knapweedferry.api.IdempotencyKey
import io.knapweedferry.api.message.ServiceAnswer
import kotlinx.coroutines.CompletableDeferred
import java.util.UUID

/**
 * Decides exactly once for each claim whether it is dispatched or refused. When claims are evicted to bound memory, the
 * table retains the timestamp of the newest evicted key: an absent claim whose key is not newer may have been dispatched
 * and counts as [ClaimDispatchState.Unknown].
 */
internal class ClaimTable(
    private val clock: MonotonicClock,
    private val retentionMs: Long,
    private val maxClaims: Int = DEFAULT_MAX_CLAIMS,
) {
    private val claims = LinkedHashMap<ClaimId, TrackedClaim>()
    private var newestEvictedKeyMs: Long? = null

    /** Returns null if the caller must dispatch the claim now, or the existing state that forbids it. */
    fun dispatch(claim: ClaimRef): ClaimDispatchState? = decide(claim, ClaimDispatchState.InProgress)

    /** Refuses a claim that was not dispatched; returns the resulting state. */
    fun refuse(claim: ClaimRef): ClaimDispatchState = ClaimDispatchState.Refused(voided = false).let { decide(claim, it) ?: it }

    /** Records that the void of a refused claim was appended to the log. */
    fun recordVoided(claim: ClaimRef) = resolve(claim, ClaimDispatchState.Refused(voided = true))

    fun recordAnswer(
        claim: ClaimRef,
        answer: ServiceAnswer,
    ) = resolve(claim, ClaimDispatchState.Done(answer, clock.nowMs() + retentionMs))

    /** Records that a dispatched claim may have taken effect. */
    fun recordUnknownOutcome(claim: ClaimRef) = resolve(claim, ClaimDispatchState.Unknown)

    /** Records that a dispatched claim had no effect, so that it may be voided. */
    fun recordNotSent(claim: ClaimRef) = resolve(claim, ClaimDispatchState.Refused(voided = false))

    /** State of a claim, or null if it was never seen. */
    fun find(claim: ClaimRef): ClaimDispatchState? = synchronized(claims) { currentState(claim) }

    /** Waits for the outcome of a claim that is in progress; returns its state. */
    suspend fun awaitOutcome(claim: ClaimRef): ClaimDispatchState? {
        synchronized(claims) { claims[claim.claimId]?.takeIf { it.state == ClaimDispatchState.InProgress } }?.resolved?.await()
        return find(claim)
    }

    private fun decide(
        claim: ClaimRef,
        newState: ClaimDispatchState,
    ): ClaimDispatchState? =
        synchronized(claims) {
            val existing = currentState(claim)
            if (existing == null) {
                claims[claim.claimId] = TrackedClaim(claim.key, newState)
                evictExcess()
            }
            existing
        }

    private fun resolve(
        claim: ClaimRef,
        newState: ClaimDispatchState,
    ) {
        val tracked = synchronized(claims) { claims[claim.claimId]?.also { it.state = newState } }
        tracked?.resolved?.complete(Unit)
    }

    private fun currentState(claim: ClaimRef): ClaimDispatchState? {
        val tracked = claims[claim.claimId]
        if (tracked == null) return if (mayHaveBeenEvicted(claim.key)) ClaimDispatchState.Unknown else null
        val state = tracked.state
        if (state is ClaimDispatchState.Done && state.retainUntilMs <= clock.nowMs()) tracked.state = ClaimDispatchState.Unknown
        return tracked.state
    }

    private fun mayHaveBeenEvicted(key: IdempotencyKey): Boolean {
        val newestMs = newestEvictedKeyMs ?: return false
        return keyTimeMs(key) <= newestMs
    }

    private fun evictExcess() {
        val oldestFirst = claims.values.iterator()
        while (claims.size > maxClaims && oldestFirst.hasNext()) {
            val tracked = oldestFirst.next()
            if (tracked.state == ClaimDispatchState.InProgress) continue
            oldestFirst.remove()
            newestEvictedKeyMs = maxOf(newestEvictedKeyMs ?: Long.MIN_VALUE, keyTimeMs(tracked.key))
        }
    }

    /** Keys without a timestamp count as older than all others. */
    private fun keyTimeMs(key: IdempotencyKey): Long {
        val uuid = runCatching { UUID.fromString(key.value) }.getOrNull()
        if (uuid == null || uuid.version() != TIME_ORDERED_UUID_VERSION) return Long.MIN_VALUE
        return uuid.mostSignificantBits ushr UUID_TIME_SHIFT_BITS
    }

    private class TrackedClaim(
        val key: IdempotencyKey,
        var state: ClaimDispatchState,
    ) {
        val resolved = CompletableDeferred<Unit>()
    }

    companion object {
        /** About 10 MB, or half a day at one claim per second. */
        private const val DEFAULT_MAX_CLAIMS = 40_000
        private const val TIME_ORDERED_UUID_VERSION = 7

        /** A version 7 UUID starts with a 48-bit Unix timestamp in milliseconds. */
        private const val UUID_TIME_SHIFT_BITS = 16
    }
}
