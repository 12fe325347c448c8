package io.knapweedferry.policy.admission

import io.knapweedferry.api.Rank

/** Slots and memory of one endpoint and the tickets that hold them. */
internal class HeldCapacity(
    var limits: GateLimits,
) {
    /** In order of grant. */
    private val holders = LinkedHashMap<TicketId, Ticket>()
    private val preempted = HashSet<TicketId>()
    private val heldByFloor = HashSet<TicketId>()

    var usedPieces = 0
        private set

    val usedSlots: Int get() = holders.size

    val freePieces: Int get() = limits.pieces - usedPieces

    /** Slots that preempted holders are about to give back. */
    val returningSlots: Int get() = preempted.size

    /** Memory that preempted holders are about to give back. */
    val returningPieces: Int get() = preempted.sumOf { holders.getValue(it).pieces }

    val oldestFirst: Collection<Ticket> get() = holders.values

    operator fun contains(id: TicketId): Boolean = id in holders

    fun hold(
        ticket: Ticket,
        byFloor: Boolean,
    ) {
        holders[ticket.id] = ticket
        if (byFloor) heldByFloor += ticket.id
        usedPieces += ticket.pieces
    }

    fun release(id: TicketId) {
        val ticket = holders.remove(id) ?: return
        preempted.remove(id)
        heldByFloor.remove(id)
        usedPieces -= ticket.pieces
    }

    /** Notes that a holder was told to give its capacity back; it holds it until it is released. */
    fun preempt(id: TicketId) {
        preempted += id
    }

    /** Holders of [rank] that were not told to leave, newest first. */
    fun stayingNewestFirst(rank: Rank): List<Ticket> = holders.values.filter { it.rank == rank && it.id !in preempted }.reversed()

    /** Whether a ticket got its capacity ahead of more urgent work because of the floor of its rank. */
    fun isHeldByFloor(id: TicketId): Boolean = id in heldByFloor

    /** Share of the scarcer of slots and memory that [rank] holds, with [extra] added. */
    fun share(
        rank: Rank,
        limit: Int,
        extra: Ticket? = null,
    ): Double {
        val own = holders.values.filter { it.rank == rank }
        val slots = own.size + if (extra == null) 0 else 1
        val pieces = own.sumOf { it.pieces } + (extra?.pieces ?: 0)
        return maxOf(slots.toDouble() / limit, pieces.toDouble() / limits.pieces.coerceAtLeast(1))
    }
}
