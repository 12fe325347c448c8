package io.knapweedferry.policy.admission

import io.knapweedferry.api.Rank

/** All waiting tickets of one gate. */
internal class RankQueue {
    private val byId = LinkedHashMap<TicketId, WaitingTicket>()
    private val byRank = Rank.entries.associateWith { FairTurns() }

    val size: Int get() = byId.size

    /** Waiting tickets in order of arrival. */
    val tickets: Collection<WaitingTicket> get() = byId.values

    operator fun contains(id: TicketId): Boolean = id in byId

    fun add(ticket: Ticket) {
        val waiting = WaitingTicket(ticket)
        byId[ticket.id] = waiting
        turns(ticket.rank).add(waiting)
    }

    fun remove(id: TicketId): Ticket? {
        val waiting = byId.remove(id) ?: return null
        turns(waiting.ticket.rank).remove(waiting)
        return waiting.ticket
    }

    /** Removes a ticket because it was granted. */
    fun serve(waiting: WaitingTicket) {
        byId.remove(waiting.ticket.id)
        turns(waiting.ticket.rank).serve(waiting)
    }

    fun turns(rank: Rank): FairTurns = byRank.getValue(rank)

    fun count(rank: Rank): Int = turns(rank).size

    /** Number of waiting tickets that are more urgent than [rank]. */
    fun countAbove(rank: Rank): Int = Rank.entries.filter { it < rank }.sumOf { count(it) }
}
