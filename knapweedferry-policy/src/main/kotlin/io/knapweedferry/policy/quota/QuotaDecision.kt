package io.knapweedferry.policy.quota

/** Whether the quota of an organisation covers a request. */
public sealed interface QuotaDecision {
    /** The cost was debited. */
    public data object Admitted : QuotaDecision

    /** Nothing was debited; the quota covers the request after [retryAfterMs] at the earliest. */
    public data class Refused(
        val retryAfterMs: Long,
    ) : QuotaDecision
}
