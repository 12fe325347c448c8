package io.knapweedferry.policy.admission

import io.knapweedferry.api.Refusal

/** Decisions made by one call of an [AdmissionGate]. A ticket that no list names stays queued. */
public data class GateChanges(
    val granted: List<TicketId> = emptyList(),
    val refused: Map<TicketId, Refusal> = emptyMap(),
    /** Granted tickets that must release their capacity to more urgent work. */
    val preempted: List<TicketId> = emptyList(),
)
