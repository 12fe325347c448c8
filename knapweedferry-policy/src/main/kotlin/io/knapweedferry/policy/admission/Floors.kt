package io.knapweedferry.policy.admission

import io.knapweedferry.api.Rank

/**
 * Decides when a lower rank goes before more urgent ones because it has less than its floor. A floor smaller than one
 * ticket is met over time: the rank earns credit while it waits below its floor and may go first once the credit pays for
 * what the ticket takes beyond the floor.
 */
internal class Floors(
    private val percent: Map<Rank, Int>,
) {
    /** Share of the whole endpoint multiplied by milliseconds. */
    private val credit = LOWER_RANKS.associateWith { 0.0 }.toMutableMap()
    private var accruedAtMs: Long? = null

    /** Floor of [rank] as a fraction of capacity; the most urgent rank needs none. */
    fun fraction(rank: Rank): Double = if (rank == Rank.URGENT) 0.0 else (percent[rank] ?: 0) / PERCENT

    /** Places of a queue that [rank] keeps; without them a flood would leave nothing waiting for the floor to serve. */
    fun queuePlaces(
        rank: Rank,
        queueLimit: Int,
    ): Int = (fraction(rank) * queueLimit).toInt()

    /** Slots that make up the floor of [rank], without the fraction that credit accounts for. */
    fun wholeSlots(
        rank: Rank,
        limit: Int,
    ): Int = (fraction(rank) * limit + ROUNDING).toInt()

    /** Floors of the ranks other than [rank] that have work waiting, together. */
    fun fractionOfOthers(
        rank: Rank,
        queue: RankQueue,
    ): Double = LOWER_RANKS.filter { it != rank && queue.count(it) > 0 }.sumOf { fraction(it) }

    /** Adds up credit until [nowMs]. A rank without waiting work saves nothing up. */
    fun accrue(
        nowMs: Long,
        queue: RankQueue,
        held: HeldCapacity,
        limit: Int,
        meanServiceMs: Double,
    ) {
        val elapsedMs = nowMs - (accruedAtMs ?: nowMs)
        accruedAtMs = nowMs
        for (rank in LOWER_RANKS) {
            val earned = (fraction(rank) - held.share(rank, limit)) * elapsedMs
            val sum = credit.getValue(rank) + earned
            credit[rank] = if (queue.count(rank) == 0) 0.0 else sum.coerceIn(0.0, meanServiceMs)
        }
    }

    /** Whether [ticket] may go before more urgent tickets. */
    fun entitled(
        ticket: Ticket,
        held: HeldCapacity,
        limit: Int,
        meanServiceMs: Double,
    ): Boolean {
        val floor = fraction(ticket.rank)
        if (held.share(ticket.rank, limit) >= floor) return false
        val excess = held.share(ticket.rank, limit, extra = ticket) - floor
        if (excess <= ROUNDING) return true
        return credit.getValue(ticket.rank) >= excess * meanServiceMs * (1 - ROUNDING)
    }

    companion object {
        val LOWER_RANKS: List<Rank> = Rank.entries - Rank.URGENT
        private const val PERCENT = 100.0

        /** Keeps sums of fractions from missing an exact floor by a rounding error. */
        private const val ROUNDING = 1e-9
    }
}
