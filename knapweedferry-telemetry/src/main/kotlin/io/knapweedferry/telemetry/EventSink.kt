package io.knapweedferry.telemetry

/** Destination of formatted log lines. */
public fun interface EventSink {
    /** Writes [line], which contains no line break. */
    public fun write(
        level: EventLevel,
        line: String,
    )

    /** Returns false if lines of [level] would be discarded, so that the caller can skip formatting them. */
    public fun accepts(level: EventLevel): Boolean = true
}
