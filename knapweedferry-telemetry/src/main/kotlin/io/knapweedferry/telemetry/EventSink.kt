package io.knapweedferry.telemetry

/** Takes finished log lines. */
public fun interface EventSink {
    /** Writes one [line], which contains no line break. */
    public fun write(
        level: EventLevel,
        line: String,
    )
}
