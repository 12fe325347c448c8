package io.knapweedferry.policy.admission

import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.Rank

/** A request for capacity of an endpoint. */
public data class Ticket(
    val id: TicketId,
    val organisation: OrganisationId,
    val rank: Rank,
    /** Memory that the request needs. */
    val pieces: Int,
    /** Time on the monotonic clock by which capacity must be granted. */
    val grantByMs: Long,
)
