package io.knapweedferry.entry.pipeline

/** The caller's connection is broken. The request must be cancelled and its resources released. */
internal class CallerDisconnectedException(
    cause: Throwable,
) : RuntimeException("the caller's connection is broken", cause)
