package io.knapweedferry.telemetry

/** Severity of a log event. */
public enum class EventLevel {
    DEBUG,
    INFO,

    /** The process continues, but an operator should investigate soon. */
    WARN,

    /** A component that the process depends on is broken. */
    ERROR,
}
