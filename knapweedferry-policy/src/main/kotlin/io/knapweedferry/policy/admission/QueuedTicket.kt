package io.knapweedferry.policy.admission

/** A queued ticket, with the memory granted to tickets that overtook it because it did not fit. */
internal class QueuedTicket(
    val ticket: Ticket,
) {
    private var overtakenKvBlocks = 0L

    /** Whether this ticket was overtaken by so much memory that it must be granted before further tickets. */
    val blocksOvertaking: Boolean get() = overtakenKvBlocks >= MAX_OVERTAKEN_FACTOR * ticket.kvBlocks

    fun recordOvertakenBy(other: Ticket) {
        overtakenKvBlocks += other.kvBlocks
    }

    private companion object {
        /** A lower factor leaves memory idle more often; a higher one delays large tickets longer. */
        const val MAX_OVERTAKEN_FACTOR = 2L
    }
}
