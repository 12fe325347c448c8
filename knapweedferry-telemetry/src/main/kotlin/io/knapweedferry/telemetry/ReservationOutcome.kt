package io.knapweedferry.telemetry

/** How an engine answered a request for a reservation. */
public enum class ReservationOutcome {
    GRANTED,
    NO_ROOM,

    /** There was room for the run and none for the head room beside it. */
    NO_HEAD_ROOM,
    UNANSWERED,

    /** Another endpoint has the engine's address. */
    WRONG_ENDPOINT,
    UNREADABLE,
}
