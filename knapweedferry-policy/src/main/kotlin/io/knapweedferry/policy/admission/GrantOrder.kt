package io.knapweedferry.policy.admission

import io.knapweedferry.api.Rank

/**
 * Decides which waiting ticket gets free capacity next: first lower ranks below their floor, then ranks in order. A ticket
 * that does not fit into free memory may be overtaken by its own rank a bounded number of times, and by lower ranks only
 * where that does not delay it.
 */
internal class GrantOrder(
    private val queue: RankQueue,
    private val held: HeldCapacity,
) {
    /** A ticket to grant and the blocked tickets that it overtakes. */
    class Choice(
        val waiting: WaitingTicket,
        val overtaken: Collection<WaitingTicket>,
        /** Whether the ticket goes first because of the floor of its rank. */
        val byFloor: Boolean,
    )

    /** Returns the next ticket to grant, or null if nothing that waits may start. */
    fun next(
        limit: Int,
        floors: Floors,
        meanServiceMs: Double,
    ): Choice? {
        if (held.usedSlots >= limit) return null
        val overtaken = LinkedHashSet<WaitingTicket>()
        for (first in firstBelowFloor(limit, floors, meanServiceMs)) {
            if (first.ticket.pieces <= held.freePieces) return Choice(first, overtaken, byFloor = true)
            if (first.insistent) return null
            overtaken += first
        }
        return nextByRank(overtaken)
    }

    private fun firstBelowFloor(
        limit: Int,
        floors: Floors,
        meanServiceMs: Double,
    ): List<WaitingTicket> =
        Floors.LOWER_RANKS
            .takeWhile { rank -> Rank.entries.none { it < rank && isInsistent(it) } }
            .mapNotNull { queue.turns(it).first() }
            .filter { floors.entitled(it.ticket, held, limit, meanServiceMs) }

    /** Without this check a large urgent ticket would starve when the floors keep taking the memory that it waits for. */
    private fun isInsistent(rank: Rank): Boolean = queue.turns(rank).first()?.insistent ?: false

    private fun nextByRank(overtaken: LinkedHashSet<WaitingTicket>): Choice? {
        var usablePieces = held.freePieces
        for (rank in Rank.entries) {
            for (waiting in queue.turns(rank).inTurn()) {
                if (waiting.ticket.pieces <= usablePieces) return Choice(waiting, overtaken, byFloor = false)
                if (waiting.insistent) return null
                overtaken += waiting
            }
            val blocked = queue.turns(rank).first() ?: continue
            usablePieces = minOf(usablePieces, sparePieces(blocked.ticket))
        }
        return null
    }

    /** Memory that remains free when enough holders, oldest first, have ended for [blocked] to start. */
    private fun sparePieces(blocked: Ticket): Int {
        var free = held.freePieces
        for (holder in held.oldestFirst) {
            if (free >= blocked.pieces) break
            free += holder.pieces
        }
        return free - blocked.pieces
    }
}
