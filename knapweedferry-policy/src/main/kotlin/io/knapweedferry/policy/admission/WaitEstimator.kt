package io.knapweedferry.policy.admission

import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.Rank

/** Estimates queueing times from observed service times and the tickets ahead in the queue. */
internal class WaitEstimator(
    private val queue: RankQueue,
    private val held: HeldCapacity,
    private val statistics: ServiceStatistics,
) {
    /** Estimated wait of a new ticket. A null [kvBlocks] means a ticket of mean size. */
    fun newTicketWaitMs(
        rank: Rank,
        organisation: OrganisationId?,
        kvBlocks: Int?,
        concurrencyLimit: Int,
        floors: RankFloors,
    ): Double {
        val ahead = queue.queueOf(rank).countAheadOfNew(organisation)
        val needed = kvBlocks ?: statistics.meanKvBlocks.toInt()
        val startsAtOnce = ahead + queue.countMoreUrgent(rank) == 0 && held.usedSlots < concurrencyLimit && needed <= held.freeKvBlocks
        if (startsAtOnce) return 0.0
        return waitMs(rank, ahead - held.preemptedSlots, needed, concurrencyLimit, floors)
    }

    /**
     * Estimated remaining wait of each queued ticket of [rank], in service order. Slots that preempted tickets still occupy
     * count as free if [countPreemptedAsFree] is true, else as occupied.
     */
    fun queuedTicketWaitsMs(
        rank: Rank,
        concurrencyLimit: Int,
        floors: RankFloors,
        countPreemptedAsFree: Boolean = true,
    ): List<Pair<Ticket, Double>> {
        val freedSlots = if (countPreemptedAsFree) held.preemptedSlots else 0
        return queue
            .queueOf(rank)
            .inServiceOrder()
            .mapIndexed { ahead, queued ->
                queued.ticket to waitMs(rank, ahead - freedSlots, queued.ticket.kvBlocks, concurrencyLimit, floors)
            }.toList()
    }

    private fun waitMs(
        rank: Rank,
        aheadInRank: Int,
        kvBlocks: Int,
        concurrencyLimit: Int,
        floors: RankFloors,
    ): Double {
        val intervalMs = statistics.meanServiceMs / meanConcurrentTickets(concurrencyLimit)
        val size = maxOf(1.0, kvBlocks / statistics.meanKvBlocks)
        val position = aheadInRank + size - MEAN_ELAPSED_FRACTION
        val aheadInRankOrder = (queue.countMoreUrgent(rank) + position).coerceAtLeast(0.0)
        val remainingShare = (1 - floors.fractionOfOtherQueuedRanks(rank, queue)).coerceAtLeast(MIN_CAPACITY_SHARE)
        val inOrderMs = aheadInRankOrder * intervalMs / remainingShare
        val floor = floors.fraction(rank)
        if (floor == 0.0) return inOrderMs
        return minOf(inOrderMs, position.coerceAtLeast(0.0) * intervalMs / floor)
    }

    /** Mean number of tickets that run concurrently when the scarcer of slots and memory is exhausted. */
    private fun meanConcurrentTickets(concurrencyLimit: Int): Double =
        minOf(concurrencyLimit.toDouble(), held.limits.kvBlocks / statistics.meanKvBlocks).coerceAtLeast(1.0)

    private companion object {
        /** Running tickets are half done on average, so the first slot is freed after half an interval. */
        const val MEAN_ELAPSED_FRACTION = 0.5

        /** Keeps the estimate finite if the floors of other ranks add up to the whole capacity. */
        const val MIN_CAPACITY_SHARE = 0.01
    }
}
