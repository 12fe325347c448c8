package io.knapweedferry.policy.admission

/** Identifies a ticket within the gate of one endpoint. */
@JvmInline
public value class TicketId(
    public val value: String,
)
