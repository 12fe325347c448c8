package io.knapweedferry.policy.admission

import io.knapweedferry.api.Rank

/** Decides which holders of the lowest rank give their capacity to urgent tickets that would otherwise be late. */
internal class Preemption(
    private val held: HeldCapacity,
) {
    /** Whether any holder could be named, now or later. */
    fun isPossible(
        limit: Int,
        floors: Floors,
    ): Boolean = candidates(limit, floors).isNotEmpty()

    /**
     * Returns the fewest of the newest holders that make room for as many of the [late] tickets, in their order, as the
     * floor of the lowest rank allows. Holders that were named before count as leaving.
     */
    fun choose(
        late: List<Ticket>,
        limit: Int,
        floors: Floors,
    ): List<TicketId> {
        val candidates = candidates(limit, floors)
        var chosen = emptyList<Ticket>()
        for (count in 1..late.size) {
            chosen = cover(late.take(count), candidates, limit) ?: break
        }
        return chosen.map { it.id }
    }

    /**
     * Leaves the whole slots of the floor to the oldest holders. The rest of the floor, a fraction of a slot, is met over
     * time by tickets that the floor let go first; those are spared too, or they would be paused again and again.
     */
    private fun candidates(
        limit: Int,
        floors: Floors,
    ): List<Ticket> {
        val staying = held.stayingNewestFirst(LOWEST_RANK)
        val keep = floors.wholeSlots(LOWEST_RANK, limit)
        return staying.dropLast(minOf(keep, staying.size)).filter { !held.isHeldByFloor(it.id) }
    }

    private fun cover(
        late: List<Ticket>,
        candidates: List<Ticket>,
        limit: Int,
    ): List<Ticket>? {
        val slots = held.usedSlots - held.returningSlots + late.size - limit
        val pieces = late.sumOf { it.pieces } - held.freePieces - held.returningPieces
        val chosen = mutableListOf<Ticket>()
        for (candidate in candidates) {
            if (covers(chosen, slots, pieces)) break
            chosen += candidate
        }
        if (!covers(chosen, slots, pieces)) return null
        // A small newer holder is spared when an older one that was needed anyway frees enough.
        for (candidate in chosen.reversed()) {
            if (covers(chosen - candidate, slots, pieces)) chosen -= candidate
        }
        return chosen
    }

    private fun covers(
        chosen: List<Ticket>,
        slots: Int,
        pieces: Int,
    ): Boolean = chosen.size >= slots && chosen.sumOf { it.pieces } >= pieces

    private companion object {
        val LOWEST_RANK = Rank.entries.last()
    }
}
