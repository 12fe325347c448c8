package io.knapweedferry.policy.admission

/** A queued ticket, with the memory granted to tickets that overtook it because it did not fit. */
internal class QueuedTicket(
    val ticket: Ticket,
) {
    private var overtakingKvBlocks = 0L

    /** Whether this ticket was overtaken by so much memory that it must be granted before further tickets. */
    val blocksOvertaking: Boolean get() = overtakingKvBlocks >= MAX_OVERTAKING_FACTOR * ticket.kvBlocks

    fun recordOvertakenBy(other: Ticket) {
        overtakingKvBlocks += other.kvBlocks
    }

    private companion object {
        /**
         * Memory that other tickets may be granted ahead of a queued one, as a multiple of its own. A lower factor leaves
         * memory idle more often; a higher one delays large tickets longer.
         */
        const val MAX_OVERTAKING_FACTOR = 2L
    }
}
