package io.knapweedferry.telemetry

/** Type of a request; value of the metric label `kind`. */
public enum class RequestKind {
    MODEL,
    SERVICE,
}
