package io.knapweedferry.entry.pipeline

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.knapweedferry.api.Rank
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.policy.admission.InFlightLimiter
import io.knapweedferry.policy.admission.InFlightPermit

/** Limits the requests in flight at one entry; refuses every new request once [close] was called. */
internal class InFlightLimit(
    limit: Int,
) {
    private val limiter = InFlightLimiter(limit)

    @Volatile
    private var closed = false

    val isClosed: Boolean get() = closed

    val inFlight: Int get() = limiter.inFlight

    /** Returns a permit, which must be closed when the request ends, or the reason for refusing the request. */
    fun tryAdmit(rank: Rank): Either<Refusal, InFlightPermit> {
        val permit = limiter.tryAcquire(rank) ?: return Refusal(RefusalReason.ENTRY_FULL, retryAfterMs = RETRY_AFTER_MS).left()
        // Checked after the request is counted; otherwise a request could start after drain() has seen none in flight.
        if (!closed) return permit.right()
        permit.close()
        return Refusal(RefusalReason.SHUTTING_DOWN, retryAfterMs = 0).left()
    }

    /** Refuses all new requests; requests in flight continue. */
    fun close() {
        closed = true
    }

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
    }
}
