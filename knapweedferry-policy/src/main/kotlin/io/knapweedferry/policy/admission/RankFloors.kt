package io.knapweedferry.policy.admission

import io.knapweedferry.api.Rank

/**
 * Guarantees each lower rank a minimum share of capacity, its floor, while more urgent work is queued. A floor smaller than
 * one ticket is met on average over time: the rank accumulates credit while it has queued work and is below its floor, and
 * overtakes more urgent work once the credit covers the capacity that its ticket takes beyond the floor.
 */
internal class RankFloors(
    private val percent: Map<Rank, Int>,
) {
    /** Credit per rank: fraction of the endpoint capacity multiplied by milliseconds. */
    private val creditShareMs = LOWER_RANKS.associateWith { 0.0 }.toMutableMap()
    private var accruedAtMs: Long? = null

    /** Floor of [rank] as a fraction of capacity. The most urgent rank has none. */
    fun fraction(rank: Rank): Double = if (rank == Rank.URGENT) 0.0 else (percent[rank] ?: 0) / PERCENT

    /**
     * Queue entries reserved for [rank]. Without them, a flood of urgent work would evict every ticket that the floor could
     * admit.
     */
    fun guaranteedQueueLength(
        rank: Rank,
        queueLimit: Int,
    ): Int = (fraction(rank) * queueLimit).toInt()

    /** Whole slots within the floor of [rank]; credit accounts for the remaining fraction of a slot. */
    fun guaranteedSlots(
        rank: Rank,
        concurrencyLimit: Int,
    ): Int = (fraction(rank) * concurrencyLimit + ROUNDING_TOLERANCE).toInt()

    /** Sum of the floors of all other ranks that have queued work. */
    fun fractionOfOtherQueuedRanks(
        rank: Rank,
        queue: RankQueue,
    ): Double = LOWER_RANKS.filter { it != rank && queue.count(it) > 0 }.sumOf { fraction(it) }

    /** Accumulates credit up to [nowMs]. A rank without queued work loses its credit. */
    fun accrueCredit(
        nowMs: Long,
        queue: RankQueue,
        held: HeldCapacity,
        concurrencyLimit: Int,
        meanServiceMs: Double,
    ) {
        val elapsedMs = nowMs - (accruedAtMs ?: nowMs)
        accruedAtMs = nowMs
        for (rank in LOWER_RANKS) {
            val earned = (fraction(rank) - held.share(rank, concurrencyLimit)) * elapsedMs
            val sum = creditShareMs.getValue(rank) + earned
            creditShareMs[rank] = if (queue.count(rank) == 0) 0.0 else sum.coerceIn(0.0, meanServiceMs)
        }
    }

    /** Whether the floor of its rank lets [ticket] overtake more urgent tickets. */
    fun mayOvertakeUrgent(
        ticket: Ticket,
        held: HeldCapacity,
        concurrencyLimit: Int,
        meanServiceMs: Double,
    ): Boolean {
        val floor = fraction(ticket.rank)
        if (held.share(ticket.rank, concurrencyLimit) >= floor) return false
        val excess = held.share(ticket.rank, concurrencyLimit, extra = ticket) - floor
        if (excess <= ROUNDING_TOLERANCE) return true
        return creditShareMs.getValue(ticket.rank) >= excess * meanServiceMs * (1 - ROUNDING_TOLERANCE)
    }

    companion object {
        val LOWER_RANKS: List<Rank> = Rank.entries - Rank.URGENT
        private const val PERCENT = 100.0

        /** Tolerance for floating-point error when a share equals its floor. */
        private const val ROUNDING_TOLERANCE = 1e-9
    }
}
