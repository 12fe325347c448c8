package io.knapweedferry.telemetry

/** What an endpoint said about its availability, or what ended; value of the metric label `change`. */
public enum class AvailabilityChange {
    /** The endpoint said that it is leaving. */
    LEAVING,

    /** The endpoint asked for a time without requests. */
    PAUSED,

    /** The endpoint asked for a longer time without requests while it was paused. */
    PAUSE_EXTENDED,
    PAUSE_ENDED,

    /** The endpoint asked for a time without requests that cannot be read. */
    PAUSE_INVALID,
}
