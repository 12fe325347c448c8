package io.knapweedferry.policy.admission

import io.knapweedferry.api.Rank
import java.util.concurrent.atomic.AtomicInteger

/**
 * Limits the requests that an entry has in flight. Lower ranks get a lower limit, which reserves capacity for urgent
 * requests during a flood. Thread safe.
 */
public class InFlightLimiter(
    maxInFlight: Int,
    /** Limit per rank, in percent of [maxInFlight]. A rank without an entry may use all of it. */
    ceilingPercent: Map<Rank, Int> = DEFAULT_CEILING_PERCENT,
) {
    /** Indexed by the ordinal of the rank. */
    private val maxInFlightByRank = Rank.entries.map { maxInFlight * (ceilingPercent[it] ?: FULL_PERCENT) / FULL_PERCENT }.toIntArray()
    private val count = AtomicInteger()

    /** Number of requests in flight. */
    public val inFlight: Int get() = count.get()

    /** Returns a permit that must be closed when the request ends, or null if the limit of [rank] is reached. */
    public fun tryAcquire(rank: Rank): InFlightPermit? {
        val ceiling = maxInFlightByRank[rank.ordinal]
        val before = count.getAndUpdate { if (it < ceiling) it + 1 else it }
        return if (before < ceiling) InFlightPermit { count.decrementAndGet() } else null
    }

    public companion object {
        /** Reserves a tenth of the capacity for urgent requests and a quarter for all ranks above background. */
        public val DEFAULT_CEILING_PERCENT: Map<Rank, Int> = mapOf(Rank.STANDARD to 90, Rank.BACKGROUND to 75)
        private const val FULL_PERCENT = 100
    }
}
