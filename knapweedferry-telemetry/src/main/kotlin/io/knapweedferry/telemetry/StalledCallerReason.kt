package io.knapweedferry.telemetry

/** Why the connection of a caller that does not read its response was closed. */
public enum class StalledCallerReason {
    /** The response of an endpoint would have been left unread for too long. */
    ENDPOINT_WAITS,

    /** Nothing was read for the idle timeout. */
    IDLE,

    /** The unread responses of all callers exceeded their limit. */
    MEMORY,
    ;

    /** Value of the metric label and the log field. */
    public val label: String = name.lowercase()
}
