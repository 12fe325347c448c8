package io.knapweedferry.api

/** Why a request was retried; the retry metric has a counter per reason. */
public enum class RetryReason(
    /** Stable code used in metrics and audit records. */
    public val code: String,
) {
    REFUSED_BY_SIDECAR("refused_by_sidecar"),
    SESSION_LOST("session_lost"),
    PREFILL_FAILED("prefill_failed"),
    TRANSFER_FAILED("transfer_failed"),
    DECODE_FAILED("decode_failed"),
    LEASE_LOST("lease_lost"),
    SERVICE_UNREACHABLE("service_unreachable"),
}
