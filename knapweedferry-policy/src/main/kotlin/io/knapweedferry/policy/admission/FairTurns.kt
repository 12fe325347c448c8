package io.knapweedferry.policy.admission

import io.knapweedferry.api.OrganisationId

/** Waiting tickets of one rank, served in turns between organisations and in order of arrival within one. */
internal class FairTurns {
    /** Iteration order is the order of turns. */
    private val queues = LinkedHashMap<OrganisationId, ArrayDeque<WaitingTicket>>()

    var size = 0
        private set

    fun add(waiting: WaitingTicket) {
        queues.getOrPut(waiting.ticket.organisation) { ArrayDeque() }.addLast(waiting)
        size++
    }

    fun remove(waiting: WaitingTicket) {
        val organisation = waiting.ticket.organisation
        val queue = queues[organisation] ?: return
        if (!queue.remove(waiting)) return
        size--
        if (queue.isEmpty()) queues.remove(organisation)
    }

    /** Removes a ticket that was granted; its organisation goes to the end of the turns. */
    fun serve(waiting: WaitingTicket) {
        remove(waiting)
        val organisation = waiting.ticket.organisation
        val queue = queues.remove(organisation) ?: return
        queues[organisation] = queue
    }

    /** Ticket whose turn it is. */
    fun first(): WaitingTicket? =
        queues.values
            .firstOrNull()
            ?.first()

    /** All tickets in the order in which turns would serve them. */
    fun inTurn(): Sequence<WaitingTicket> {
        val rounds = queues.values.maxOfOrNull { it.size } ?: 0
        return (0 until rounds).asSequence().flatMap { round ->
            queues.values.asSequence().mapNotNull { it.getOrNull(round) }
        }
    }

    /** Number of tickets that a new ticket of [organisation] would have to let pass first. */
    fun aheadOfNew(organisation: OrganisationId?): Int {
        val own = queues[organisation]?.size ?: 0
        return own + queues.filterKeys { it != organisation }.values.sumOf { minOf(it.size, own + 1) }
    }

    /** Newest ticket of the organisation with most waiting; on a tie the organisation of [arrival] gives way. */
    fun newestOfLongest(arrival: OrganisationId): WaitingTicket? =
        queues.entries
            .maxWithOrNull(compareBy({ it.value.size }, { it.key == arrival }))
            ?.value
            ?.last()
}
