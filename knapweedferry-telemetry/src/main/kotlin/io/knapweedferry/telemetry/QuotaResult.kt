package io.knapweedferry.telemetry

/** What became of the cost of a request under a quota. */
public enum class QuotaResult { ADMITTED, REFUSED, REFUNDED }
