package io.knapweedferry.policy.admission

/** A ticket in the queue, with the memory that others were granted while this one did not fit. */
internal class WaitingTicket(
    val ticket: Ticket,
) {
    private var overtakenPieces = 0L

    /** True once enough memory went to others that this ticket must be served before any more of them. */
    val insistent: Boolean get() = overtakenPieces >= OVERTAKE_FACTOR * ticket.pieces

    fun overtakenBy(other: Ticket) {
        overtakenPieces += other.pieces
    }

    private companion object {
        /** A lower factor leaves memory idle more often; a higher one delays large tickets by more service times. */
        const val OVERTAKE_FACTOR = 2L
    }
}
