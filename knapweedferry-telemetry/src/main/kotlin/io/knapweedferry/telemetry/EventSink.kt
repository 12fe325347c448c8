package io.knapweedferry.telemetry

/** Takes finished log lines. */
public fun interface EventSink {
    /** Writes one [line], which contains no line break. */
    public fun write(
        level: EventLevel,
        line: String,
    )

    /** False if lines of [level] would be discarded anyway, so that they need not be built. */
    public fun accepts(level: EventLevel): Boolean = true
}
