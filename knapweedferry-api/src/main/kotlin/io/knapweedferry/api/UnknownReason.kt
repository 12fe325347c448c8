package io.knapweedferry.api

/** Why it is unknown whether a request took effect. */
public enum class UnknownReason(
    /** Stable code used in problem details, metrics and audit records. */
    public val code: String,
    /** How the caller can resolve the problem. */
    public val remedy: String,
) {
    SIDECAR_LOST("sidecar_lost", "check the effect at the service itself before asking again under a new key"),
    SERVICE_SILENT("service_silent", "check the effect at the service itself before asking again under a new key"),
    KEY_EXPIRED("key_expired", "check the effect at the service itself; the key is older than the records that are kept"),
    CLAIM_UNSETTLED("claim_unsettled", "repeat the request with the same Idempotency-Key"),
    DEADLINE("deadline", "repeat the request with the same Idempotency-Key"),
}
