package io.knapweedferry.policy.admission

import io.knapweedferry.api.Rank
import java.util.concurrent.atomic.AtomicInteger

/**
 * Bounds the requests that an entry has in flight. Lower ranks may be kept from the last places, so that a flood of them
 * leaves room for urgent work. Thread safe.
 */
public class InFlightLimiter(
    maxInFlight: Int,
    /** Part of all places, in percent, beyond which a rank gets no more. A missing rank may use all. */
    ceilingPercent: Map<Rank, Int> = DEFAULT_CEILING_PERCENT,
) {
    /** By ordinal of the rank. */
    private val ceilings = Rank.entries.map { maxInFlight * (ceilingPercent[it] ?: ALL_PERCENT) / ALL_PERCENT }.toIntArray()
    private val count = AtomicInteger()

    /** Requests in flight now. */
    public val inFlight: Int get() = count.get()

    /** Returns a permit to close when the request ends, or null if there is no place for [rank]. */
    public fun tryAcquire(rank: Rank): InFlightPermit? {
        val ceiling = ceilings[rank.ordinal]
        val before = count.getAndUpdate { if (it < ceiling) it + 1 else it }
        return if (before < ceiling) InFlightPermit { count.decrementAndGet() } else null
    }

    public companion object {
        /** Keeps a tenth of the places for urgent work and a quarter for all but background work. */
        public val DEFAULT_CEILING_PERCENT: Map<Rank, Int> = mapOf(Rank.STANDARD to 90, Rank.BACKGROUND to 75)
        private const val ALL_PERCENT = 100
    }
}
