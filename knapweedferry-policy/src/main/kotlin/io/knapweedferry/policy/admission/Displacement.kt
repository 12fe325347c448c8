package io.knapweedferry.policy.admission

import io.knapweedferry.api.Rank

/** Decides which waiting ticket leaves an overfull queue. */
internal class Displacement(
    private val queue: RankQueue,
) {
    /**
     * Returns the newest ticket of the least urgent rank that has more than its floor of places, from the organisation
     * with most waiting; this may be [arrival] itself.
     */
    fun choose(
        arrival: Ticket,
        floors: Floors,
        queueLimit: Int,
    ): Ticket {
        val rank = Rank.entries.reversed().firstOrNull { queue.count(it) > floors.queuePlaces(it, queueLimit) } ?: arrival.rank
        return queue.turns(rank).newestOfLongest(arrival.organisation)?.ticket ?: arrival
    }
}
