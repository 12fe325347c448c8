package io.knapweedferry.policy.admission

import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.Rank

/** A request for capacity of one endpoint. */
public data class Ticket(
    val id: TicketId,
    val organisation: OrganisationId,
    val rank: Rank,
    /** Number of KV cache blocks that the request needs. */
    val kvBlocks: Int,
    /** Deadline for the grant, as a time of the monotonic clock. */
    val grantDeadlineMs: Long,
)
