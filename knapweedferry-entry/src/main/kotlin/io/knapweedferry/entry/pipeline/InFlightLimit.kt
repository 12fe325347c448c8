package io.knapweedferry.entry.pipeline

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import java.util.concurrent.atomic.AtomicInteger

/** Bounds the requests in progress at one entry, so that a flood cannot exhaust its threads and memory. */
internal class InFlightLimit(
    private val limit: Int,
) {
    private val inFlight = AtomicInteger()

    @Volatile
    private var closed = false

    val isClosed: Boolean get() = closed

    val count: Int get() = inFlight.get()

    fun enter(): Either<Refusal, Unit> {
        if (closed) return Refusal(RefusalReason.SHUTTING_DOWN, retryAfterMs = 0).left()
        if (inFlight.incrementAndGet() <= limit) return Unit.right()
        inFlight.decrementAndGet()
        return Refusal(RefusalReason.ENTRY_FULL, retryAfterMs = RETRY_AFTER_MS).left()
    }

    fun leave() {
        inFlight.decrementAndGet()
    }

    /** Refuses everything from now on; requests in progress go on. */
    fun close() {
        closed = true
    }

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
    }
}
