package io.knapweedferry.policy.admission

import io.knapweedferry.api.Rank

/** Selects the ticket to evict when the queue exceeds its limit. */
internal class QueueEviction(
    private val queue: RankQueue,
) {
    /**
     * Returns the newest ticket of the organisation with the longest queue, within the least urgent rank that exceeds its
     * guaranteed queue length. This may be [arrival] itself.
     */
    fun select(
        arrival: Ticket,
        floors: RankFloors,
        queueLimit: Int,
    ): Ticket {
        val rank = Rank.entries.reversed().firstOrNull { queue.count(it) > floors.guaranteedQueueLength(it, queueLimit) } ?: arrival.rank
        return queue.queueOf(rank).newestOfLongestQueue(arrival.organisation)?.ticket ?: arrival
    }
}
