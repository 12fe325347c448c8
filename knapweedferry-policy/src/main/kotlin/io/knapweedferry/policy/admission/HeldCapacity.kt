package io.knapweedferry.policy.admission

import io.knapweedferry.api.Rank

/** Slots and memory of one endpoint, and the granted tickets that occupy them. */
internal class HeldCapacity(
    var limits: GateLimits,
) {
    /** In the order of grants. */
    private val holders = LinkedHashMap<TicketId, Ticket>()
    private val preempted = HashSet<TicketId>()
    private val grantedByFloor = HashSet<TicketId>()

    var usedKvBlocks = 0
        private set

    val usedSlots: Int get() = holders.size

    val freeKvBlocks: Int get() = limits.kvBlocks - usedKvBlocks

    /** Slots that preempted tickets still occupy and are about to release. */
    val preemptedSlots: Int get() = preempted.size

    /** Memory that preempted tickets still occupy and are about to release. */
    val preemptedKvBlocks: Int get() = preempted.sumOf { holders.getValue(it).kvBlocks }

    val oldestFirst: Collection<Ticket> get() = holders.values

    operator fun contains(id: TicketId): Boolean = id in holders

    fun allocate(
        ticket: Ticket,
        byFloor: Boolean,
    ) {
        holders[ticket.id] = ticket
        if (byFloor) grantedByFloor += ticket.id
        usedKvBlocks += ticket.kvBlocks
    }

    fun release(id: TicketId) {
        val ticket = holders.remove(id) ?: return
        preempted.remove(id)
        grantedByFloor.remove(id)
        usedKvBlocks -= ticket.kvBlocks
    }

    /** Marks a ticket as preempted; it occupies its capacity until [release]. */
    fun preempt(id: TicketId) {
        preempted += id
    }

    /** Tickets of [rank] that are not preempted, newest first. */
    fun notPreemptedNewestFirst(rank: Rank): List<Ticket> = holders.values.filter { it.rank == rank && it.id !in preempted }.reversed()

    /** Whether a ticket was granted ahead of more urgent work because of the floor of its rank. */
    fun isGrantedByFloor(id: TicketId): Boolean = id in grantedByFloor

    /** Dominant share of [rank]: the larger of its fractions of the slots and of the memory, including [extra]. */
    fun share(
        rank: Rank,
        concurrencyLimit: Int,
        extra: Ticket? = null,
    ): Double {
        val own = holders.values.filter { it.rank == rank }
        val slots = own.size + if (extra == null) 0 else 1
        val kvBlocks = own.sumOf { it.kvBlocks } + (extra?.kvBlocks ?: 0)
        return maxOf(slots.toDouble() / concurrencyLimit, kvBlocks.toDouble() / limits.kvBlocks.coerceAtLeast(1))
    }
}
