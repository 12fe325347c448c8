package io.knapweedferry.telemetry

/** Two kinds of requests, as told apart in metrics. */
public enum class RequestKind {
    MODEL,
    SERVICE,
}
