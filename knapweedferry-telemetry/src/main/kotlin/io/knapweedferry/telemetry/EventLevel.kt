package io.knapweedferry.telemetry

/** Severity of a log event. */
public enum class EventLevel {
    DEBUG,
    INFO,

    /** The process goes on, but an operator should look at it soon. */
    WARN,

    /** Something that the process needs is broken. */
    ERROR,
}
