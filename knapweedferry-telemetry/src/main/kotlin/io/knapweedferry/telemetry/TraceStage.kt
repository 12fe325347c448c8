package io.knapweedferry.telemetry

/** Part of the request path that took a decision. */
public enum class TraceStage {
    AUTHENTICATE,
    CLASSIFY,
    ADMIT,
    CLAIM,
    PLACE,
    RESERVE,
    PREFILL,
    TRANSFER,
    DECODE,
    INVOKE,
    DELIVER,
    RETRY,
    CANCEL,
    RECORD,
}
