package io.knapweedferry.policy.admission

import io.knapweedferry.api.Refusal

/** Decisions made by one call of an [AdmissionGate]. A ticket in none of the collections keeps its state. */
public data class GateDecisions(
    val granted: List<TicketId> = emptyList(),
    val refused: Map<TicketId, Refusal> = emptyMap(),
    /** Granted tickets that must release their capacity to more urgent work. */
    val preempted: List<TicketId> = emptyList(),
)
