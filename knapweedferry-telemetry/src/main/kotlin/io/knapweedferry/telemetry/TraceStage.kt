package io.knapweedferry.telemetry

/** Stage of request processing that made a decision. */
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
