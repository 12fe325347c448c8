package io.knapweedferry.sidecar.orders

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.Revision

/** Records the step results of one endpoint, once per revision, and retries those that could not be written to the log. */
internal class StepReports(
    private val endpoint: EndpointId,
    private val reporter: StepReporter,
) {
    private var pending: StepReport? = null
    private var reportedRevision: Revision? = null

    suspend fun add(
        revision: Revision,
        failure: String? = null,
    ) {
        if (reportedRevision == revision) return
        reportedRevision = revision
        pending = StepReport(endpoint, revision, failure)
        sendPending()
    }

    /** Sends the report that is not recorded yet, if any. */
    suspend fun sendPending() {
        val report = pending ?: return
        if (report.send(reporter).isRight()) pending = null
    }
}
