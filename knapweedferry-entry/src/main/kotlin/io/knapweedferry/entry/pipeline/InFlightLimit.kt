package io.knapweedferry.entry.pipeline

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.knapweedferry.api.Rank
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.policy.admission.InFlightLimiter
import io.knapweedferry.policy.admission.InFlightPermit

/** Bounds the requests in progress at one entry, and refuses all new ones once the entry is stopping. */
internal class InFlightLimit(
    limit: Int,
) {
    private val limiter = InFlightLimiter(limit)

    @Volatile
    private var closed = false

    val isClosed: Boolean get() = closed

    val count: Int get() = limiter.inFlight

    /** A permit to close when the request ends. */
    fun enter(rank: Rank): Either<Refusal, InFlightPermit> {
        val permit = limiter.tryAcquire(rank) ?: return Refusal(RefusalReason.ENTRY_FULL, retryAfterMs = RETRY_AFTER_MS).left()
        // Looked at after the request is counted, so that a drain that saw no requests lets none in.
        if (!closed) return permit.right()
        permit.close()
        return Refusal(RefusalReason.SHUTTING_DOWN, retryAfterMs = 0).left()
    }

    /** Refuses everything from now on; requests in progress go on. */
    fun close() {
        closed = true
    }

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
    }
}
