package io.knapweedferry.policy.admission

import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.Rank

/** Forecasts how long tickets wait, from observed service times and what is queued before them. */
internal class WaitForecast(
    private val queue: RankQueue,
    private val held: HeldCapacity,
    private val estimate: ServiceEstimate,
) {
    /** Time that a new ticket would wait. [pieces] of null stands for a ticket of mean size. */
    fun ofNewMs(
        rank: Rank,
        organisation: OrganisationId?,
        pieces: Int?,
        limit: Int,
        floors: Floors,
    ): Double {
        val ahead = queue.turns(rank).aheadOfNew(organisation)
        val needed = pieces ?: estimate.meanPieces.toInt()
        val startsAtOnce = ahead + queue.countAbove(rank) == 0 && held.usedSlots < limit && needed <= held.freePieces
        if (startsAtOnce) return 0.0
        return waitMs(rank, ahead - held.returningSlots, needed, limit, floors)
    }

    /**
     * Time that each waiting ticket of [rank] still waits, in the order of turns. With [preemption] the places of
     * preempted holders count as free soon, otherwise as occupied.
     */
    fun ofWaitingMs(
        rank: Rank,
        limit: Int,
        floors: Floors,
        preemption: Boolean = true,
    ): List<Pair<Ticket, Double>> {
        val returning = if (preemption) held.returningSlots else 0
        return queue
            .turns(rank)
            .inTurn()
            .mapIndexed { ahead, waiting -> waiting.ticket to waitMs(rank, ahead - returning, waiting.ticket.pieces, limit, floors) }
            .toList()
    }

    private fun waitMs(
        rank: Rank,
        aheadInRank: Int,
        pieces: Int,
        limit: Int,
        floors: Floors,
    ): Double {
        val intervalMs = estimate.meanServiceMs / parallel(limit)
        val size = maxOf(1.0, pieces / estimate.meanPieces)
        val position = aheadInRank + size - ELAPSED_PART
        val inOrder = (queue.countAbove(rank) + position).coerceAtLeast(0.0)
        val rest = (1 - floors.fractionOfOthers(rank, queue)).coerceAtLeast(SMALLEST_SHARE)
        val inOrderMs = inOrder * intervalMs / rest
        val floor = floors.fraction(rank)
        if (floor == 0.0) return inOrderMs
        return minOf(inOrderMs, position.coerceAtLeast(0.0) * intervalMs / floor)
    }

    /** Tickets that run at once when slots or memory, whichever is scarcer, are used up. */
    private fun parallel(limit: Int): Double = minOf(limit.toDouble(), held.limits.pieces / estimate.meanPieces).coerceAtLeast(1.0)

    private companion object {
        /** Running tickets are half done on average, so the first place comes free after half an interval. */
        const val ELAPSED_PART = 0.5

        /** Keeps the forecast finite when the floors of other ranks take everything. */
        const val SMALLEST_SHARE = 0.01
    }
}
