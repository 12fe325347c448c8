package io.knapweedferry.routing.pipeline

import io.knapweedferry.policy.quota.QuotaDecision
import io.knapweedferry.routing.call.CallTraits
import io.knapweedferry.routing.model.Organisation
import io.knapweedferry.routing.quota.QuotaGate
import io.knapweedferry.routing.quota.QuotaPreview

/** Debits requests from the quotas of their organisations, and returns the cost of those that have not run. */
internal class QuotaCheck(
    /** Organisation that sent a request; null if it belongs to none. */
    private val organisationOf: (CallRecord) -> Organisation?,
) {
    /** Null if this process applies no quotas. Set before the first request. */
    var gate: QuotaGate? = null

    /** False if the quota doesn't cover the request, which has been refused then. */
    fun admit(job: ForwardingJob): Boolean {
        val organisation = organisationOf(job.record) ?: return true
        val decision = gate?.admit(organisation, job.call.traits)
        if (decision !is QuotaDecision.Refused) return true
        job.record.recordStep("quota:${organisation.id.value}")
        job.refuse(LocalResponse.QUOTA_EXHAUSTED, decision.retryAfterMs)
        return false
    }

    /** What [admit] would decide about a request of [organisation] now, without a debit; null if it has no quota. */
    fun preview(
        organisation: Organisation,
        traits: CallTraits,
    ): QuotaPreview? = gate?.preview(organisation, traits)

    /** Must be called once at the end of each admitted request. */
    fun settle(job: ForwardingJob) {
        if (job.record.mayHaveRun) return
        organisationOf(job.record)?.let { gate?.refund(it, job.call.traits) }
    }
}
