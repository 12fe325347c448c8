package io.knapweedferry.telemetry

/** How an engine answered a request for a reservation. */
public enum class ReservationOutcome {
    GRANTED,
    NO_ROOM,
    UNANSWERED,

    /** Another endpoint has the engine's address. */
    WRONG_ENDPOINT,
    UNREADABLE,
}
