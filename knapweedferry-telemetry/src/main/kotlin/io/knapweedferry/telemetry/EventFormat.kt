package io.knapweedferry.telemetry

/** Format of log lines. */
public enum class EventFormat {
    /** `KF-0412 message key=value ...`; see [TextValueEncoder] for the quoting of values. */
    TEXT,

    /** One JSON object per line. */
    JSON,
}
