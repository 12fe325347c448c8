package io.knapweedferry.entry.pipeline

/** The caller's connection broke; everything held for the request must be given up. */
internal class CallerGoneException(
    cause: Throwable,
) : RuntimeException("the caller's connection broke", cause)
