package io.knapweedferry.policy.admission

import io.knapweedferry.api.Rank

/** All queued tickets of one gate. */
internal class RankQueue {
    private val byId = LinkedHashMap<TicketId, QueuedTicket>()
    private val byRank = Rank.entries.associateWith { RoundRobinQueue() }

    val size: Int get() = byId.size

    /** Queued tickets in order of arrival. */
    val tickets: Collection<QueuedTicket> get() = byId.values

    operator fun contains(id: TicketId): Boolean = id in byId

    fun add(ticket: Ticket) {
        val queued = QueuedTicket(ticket)
        byId[ticket.id] = queued
        queueOf(ticket.rank).add(queued)
    }

    fun remove(id: TicketId): Ticket? {
        val queued = byId.remove(id) ?: return null
        queueOf(queued.ticket.rank).remove(queued)
        return queued.ticket
    }

    /** Removes a ticket after its grant. */
    fun removeGranted(queued: QueuedTicket) {
        byId.remove(queued.ticket.id)
        queueOf(queued.ticket.rank).removeGranted(queued)
    }

    fun queueOf(rank: Rank): RoundRobinQueue = byRank.getValue(rank)

    fun count(rank: Rank): Int = queueOf(rank).size

    /** Number of queued tickets that are more urgent than [rank]. */
    fun countMoreUrgent(rank: Rank): Int = Rank.entries.filter { it < rank }.sumOf { count(it) }
}
