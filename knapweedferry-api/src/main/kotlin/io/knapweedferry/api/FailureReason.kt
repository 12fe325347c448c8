package io.knapweedferry.api

/** Why an attempt failed after it may have reached an endpoint. */
public enum class FailureReason(
    /** Stable code used in problem details, metrics and audit records. */
    public val code: String,
    /** How the caller can resolve the problem. */
    public val remedy: String,
) {
    PREFILL_FAILED("prefill_failed", "retry; the prefill endpoint did not answer"),
    TRANSFER_FAILED("transfer_failed", "retry; the KV cache could not be moved"),
    ENGINE_FAILED("engine_failed", "retry; the engine ended the stream early"),
    ENGINE_LOST("engine_lost", "retry; the engine cannot be reached"),
    SERVICE_FAILED("service_failed", "retry; the service cannot be reached"),
    SERVICE_SILENT("service_silent", "check the effect at the service; it did not answer in time"),
    SESSION_LOST("session_lost", "retry; the link to the sidecar broke"),
    INCOMPLETE_ANSWER("incomplete_answer", "retry; the answer did not match its count and digest"),
    PARTLY_RUN("partly_run", "retry; an earlier attempt reached an endpoint and no other place was found"),
    CANCELLED("cancelled", "nothing to do; the caller cancelled"),
    DEADLINE("deadline", "retry with a longer deadline"),
    PREEMPTED("preempted", "nothing to do; the stream resumes when there is room"),
}
