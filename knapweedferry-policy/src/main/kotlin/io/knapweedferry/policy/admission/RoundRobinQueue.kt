package io.knapweedferry.policy.admission

import io.knapweedferry.api.OrganisationId

/** Queued tickets of one rank: round robin across organisations, first in, first out within one. */
internal class RoundRobinQueue {
    /** Iteration order is the round-robin order. */
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

    /** Removes a granted ticket and moves its organisation to the end of the round. */
    fun removeGranted(waiting: WaitingTicket) {
        remove(waiting)
        val organisation = waiting.ticket.organisation
        val queue = queues.remove(organisation) ?: return
        queues[organisation] = queue
    }

    /** Next ticket in round-robin order. */
    fun first(): WaitingTicket? =
        queues.values
            .firstOrNull()
            ?.first()

    /** All tickets in round-robin order. */
    fun inServiceOrder(): Sequence<WaitingTicket> {
        val rounds = queues.values.maxOfOrNull { it.size } ?: 0
        return (0 until rounds).asSequence().flatMap { round ->
            queues.values.asSequence().mapNotNull { it.getOrNull(round) }
        }
    }

    /** Number of tickets that are served before a new ticket of [organisation]. */
    fun countAheadOfNew(organisation: OrganisationId?): Int {
        val own = queues[organisation]?.size ?: 0
        return own + queues.filterKeys { it != organisation }.values.sumOf { minOf(it.size, own + 1) }
    }

    /** Newest ticket of the organisation with the longest queue; ties resolve to the organisation [arrival]. */
    fun newestOfLongestQueue(arrival: OrganisationId): WaitingTicket? =
        queues.entries
            .maxWithOrNull(compareBy({ it.value.size }, { it.key == arrival }))
            ?.value
            ?.last()
}
