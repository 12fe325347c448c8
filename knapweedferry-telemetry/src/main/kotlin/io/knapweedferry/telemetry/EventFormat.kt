package io.knapweedferry.telemetry

/** Form of a log line. */
public enum class EventFormat {
    /** `KF-0412 message key=value ...` */
    TEXT,

    /** One JSON object per line. */
    JSON,
}
