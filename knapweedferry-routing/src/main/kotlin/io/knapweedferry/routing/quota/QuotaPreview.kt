package io.knapweedferry.routing.quota

import io.knapweedferry.policy.quota.QuotaDecision

/** Whether the quota of an organisation would cover a request now. */
internal class QuotaPreview(
    /** What this entry believes to be left of the quota, in its unit; null if it has no limit. */
    val level: Double?,
    val cost: Double,
    val decision: QuotaDecision,
)
