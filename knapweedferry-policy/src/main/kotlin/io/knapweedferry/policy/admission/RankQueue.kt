package io.knapweedferry.policy.admission

import io.knapweedferry.api.Rank

/** All queued tickets of one gate. */
internal class RankQueue {
    private val byId = LinkedHashMap<TicketId, WaitingTicket>()
    private val byRank = Rank.entries.associateWith { RoundRobinQueue() }

    val size: Int get() = byId.size

    /** Queued tickets in order of arrival. */
    val tickets: Collection<WaitingTicket> get() = byId.values

    operator fun contains(id: TicketId): Boolean = id in byId

    fun add(ticket: Ticket) {
        val waiting = WaitingTicket(ticket)
        byId[ticket.id] = waiting
        queueOf(ticket.rank).add(waiting)
    }

    fun remove(id: TicketId): Ticket? {
        val waiting = byId.remove(id) ?: return null
        queueOf(waiting.ticket.rank).remove(waiting)
        return waiting.ticket
    }

    /** Removes a ticket after its grant. */
    fun removeGranted(waiting: WaitingTicket) {
        byId.remove(waiting.ticket.id)
        queueOf(waiting.ticket.rank).removeGranted(waiting)
    }

    fun queueOf(rank: Rank): RoundRobinQueue = byRank.getValue(rank)

    fun count(rank: Rank): Int = queueOf(rank).size

    /** Number of queued tickets that are more urgent than [rank]. */
    fun countMoreUrgent(rank: Rank): Int = Rank.entries.filter { it < rank }.sumOf { count(it) }
}
