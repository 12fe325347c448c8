package io.knapweedferry.telemetry

/** Result of asking an engine to reserve capacity for a request; value of the metric label `outcome`. */
public enum class ReservationOutcome {
    GRANTED,
    NO_ROOM,
    UNANSWERED,

    /** Another endpoint responded at the engine's address. */
    WRONG_ENDPOINT,
    UNREADABLE,

    /** The response belongs to an earlier request. */
    REPEATED,
}
