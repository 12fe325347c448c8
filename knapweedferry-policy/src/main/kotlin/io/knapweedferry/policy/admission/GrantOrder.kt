package io.knapweedferry.policy.admission

import io.knapweedferry.api.Rank

/**
 * Selects the queued ticket that gets free capacity next: lower ranks below their floor first, then ranks by urgency. A
 * ticket that does not fit into free memory can be overtaken by its own rank up to a bounded amount of memory, and by lower
 * ranks only if that does not delay it.
 */
internal class GrantOrder(
    private val queue: RankQueue,
    private val held: HeldCapacity,
) {
    /** A ticket to grant and the blocked tickets that it overtakes. */
    class Choice(
        val queued: QueuedTicket,
        val overtaken: Collection<QueuedTicket>,
        /** Whether the ticket precedes more urgent work because of the floor of its rank. */
        val byFloor: Boolean,
    )

    /** Returns the next ticket to grant, or null if no queued ticket can start. */
    fun next(
        concurrencyLimit: Int,
        floors: RankFloors,
        meanServiceMs: Double,
    ): Choice? {
        if (held.usedSlots >= concurrencyLimit) return null
        val overtaken = LinkedHashSet<QueuedTicket>()
        for (first in firstTicketsBelowFloor(concurrencyLimit, floors, meanServiceMs)) {
            if (first.ticket.kvBlocks <= held.freeKvBlocks) return Choice(first, overtaken, byFloor = true)
            if (first.blocksOvertaking) return null
            overtaken += first
        }
        return nextByRank(overtaken)
    }

    private fun firstTicketsBelowFloor(
        concurrencyLimit: Int,
        floors: RankFloors,
        meanServiceMs: Double,
    ): List<QueuedTicket> =
        RankFloors.LOWER_RANKS
            .takeWhile { rank -> Rank.entries.none { it < rank && firstBlocksOvertaking(it) } }
            .mapNotNull { queue.queueOf(it).first() }
            .filter { floors.mayOvertakeUrgent(it.ticket, held, concurrencyLimit, meanServiceMs) }

    /** Prevents starvation of a large urgent ticket whose memory the floors would otherwise keep taking. */
    private fun firstBlocksOvertaking(rank: Rank): Boolean = queue.queueOf(rank).first()?.blocksOvertaking ?: false

    private fun nextByRank(overtaken: LinkedHashSet<QueuedTicket>): Choice? {
        var usableKvBlocks = held.freeKvBlocks
        for (rank in Rank.entries) {
            for (queued in queue.queueOf(rank).inServiceOrder()) {
                if (queued.ticket.kvBlocks <= usableKvBlocks) return Choice(queued, overtaken, byFloor = false)
                if (queued.blocksOvertaking) return null
                overtaken += queued
            }
            val blocked = queue.queueOf(rank).first() ?: continue
            usableKvBlocks = minOf(usableKvBlocks, spareKvBlocks(blocked.ticket))
        }
        return null
    }

    /** Memory left over when the oldest running tickets have ended, as many as [blocked] needs in order to start. */
    private fun spareKvBlocks(blocked: Ticket): Int {
        var free = held.freeKvBlocks
        for (holder in held.oldestFirst) {
            if (free >= blocked.kvBlocks) break
            free += holder.kvBlocks
        }
        return free - blocked.kvBlocks
    }
}
