package io.knapweedferry.policy.admission

import io.knapweedferry.api.Refusal

/** What a call to the gate decided. A ticket in none of the lists waits. */
public data class GateChanges(
    val granted: List<TicketId> = emptyList(),
    val refused: Map<TicketId, Refusal> = emptyMap(),
    /** Holders of capacity that must give it up for more urgent work. */
    val preempted: List<TicketId> = emptyList(),
)
