package io.knapweedferry.policy.admission

import io.knapweedferry.api.OrganisationId

/** Queued tickets of one rank: round robin across organisations, first in, first out within one. */
internal class RoundRobinQueue {
    /** Iteration order is the round-robin order. */
    private val queues = LinkedHashMap<OrganisationId, ArrayDeque<QueuedTicket>>()

    var size = 0
        private set

    fun add(queued: QueuedTicket) {
        queues.getOrPut(queued.ticket.organisation) { ArrayDeque() }.addLast(queued)
        size++
    }

    fun remove(queued: QueuedTicket) {
        val organisation = queued.ticket.organisation
        val queue = queues[organisation] ?: return
        if (!queue.remove(queued)) return
        size--
        if (queue.isEmpty()) queues.remove(organisation)
    }

    /** Removes a granted ticket and moves its organisation to the end of the round. */
    fun removeGranted(queued: QueuedTicket) {
        remove(queued)
        val organisation = queued.ticket.organisation
        val queue = queues.remove(organisation) ?: return
        queues[organisation] = queue
    }

    /** Next ticket in round-robin order. */
    fun first(): QueuedTicket? =
        queues.values
            .firstOrNull()
            ?.first()

    /** All tickets in round-robin order. */
    fun inServiceOrder(): Sequence<QueuedTicket> {
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
    fun newestOfLongestQueue(arrival: OrganisationId): QueuedTicket? =
        queues.entries
            .maxWithOrNull(compareBy({ it.value.size }, { it.key == arrival }))
            ?.value
            ?.last()
}
