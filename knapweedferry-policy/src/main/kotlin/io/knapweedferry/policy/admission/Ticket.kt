package io.knapweedferry.policy.admission

import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.Rank

/** A request for capacity of one endpoint. */
public data class Ticket(
    val id: TicketId,
    val organisation: OrganisationId,
    val rank: Rank,
    /** Memory that the request needs, in fixed-size blocks. */
    val pieces: Int,
    /** Deadline for the grant, as a time of the monotonic clock. */
    val grantByMs: Long,
)
