package io.knapweedferry.policy.admission

import io.knapweedferry.api.Rank

/** Selects the tickets of the lowest rank to preempt for urgent tickets that would otherwise miss their deadline. */
internal class Preemption(
    private val held: HeldCapacity,
) {
    /** Whether any running ticket can be preempted. */
    fun isPossible(
        concurrencyLimit: Int,
        floors: RankFloors,
    ): Boolean = candidates(concurrencyLimit, floors).isNotEmpty()

    /**
     * Returns the fewest of the newest running tickets that make room for as many of the [late] tickets, in their order, as
     * the floor of the lowest rank allows. Capacity of tickets that are already preempted counts as free.
     */
    fun select(
        late: List<Ticket>,
        concurrencyLimit: Int,
        floors: RankFloors,
    ): List<TicketId> {
        val candidates = candidates(concurrencyLimit, floors)
        var chosen = emptyList<Ticket>()
        for (count in 1..late.size) {
            chosen = selectCovering(late.take(count), candidates, concurrencyLimit) ?: break
        }
        return chosen.map { it.id }
    }

    /**
     * Exempts the oldest tickets within the whole slots of the floor. The remaining fraction of a slot is met over time by
     * tickets that were granted because of the floor; these are exempt as well, or they would be preempted repeatedly.
     */
    private fun candidates(
        concurrencyLimit: Int,
        floors: RankFloors,
    ): List<Ticket> {
        val notPreempted = held.notPreemptedNewestFirst(LOWEST_RANK)
        val exempt = floors.guaranteedSlots(LOWEST_RANK, concurrencyLimit)
        return notPreempted.dropLast(minOf(exempt, notPreempted.size)).filter { !held.isGrantedByFloor(it.id) }
    }

    private fun selectCovering(
        late: List<Ticket>,
        candidates: List<Ticket>,
        concurrencyLimit: Int,
    ): List<Ticket>? {
        val slots = held.usedSlots - held.preemptedSlots + late.size - concurrencyLimit
        val kvBlocks = late.sumOf { it.kvBlocks } - held.freeKvBlocks - held.preemptedKvBlocks
        val chosen = mutableListOf<Ticket>()
        for (candidate in candidates) {
            if (covers(chosen, slots, kvBlocks)) break
            chosen += candidate
        }
        if (!covers(chosen, slots, kvBlocks)) return null
        // Drops newer tickets that became redundant because an older one frees enough.
        for (candidate in chosen.reversed()) {
            if (covers(chosen - candidate, slots, kvBlocks)) chosen -= candidate
        }
        return chosen
    }

    private fun covers(
        chosen: List<Ticket>,
        slots: Int,
        kvBlocks: Int,
    ): Boolean = chosen.size >= slots && chosen.sumOf { it.kvBlocks } >= kvBlocks

    private companion object {
        val LOWEST_RANK = Rank.entries.last()
    }
}
