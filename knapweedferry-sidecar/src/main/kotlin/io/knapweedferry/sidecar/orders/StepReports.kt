package io.knapweedferry.sidecar.orders

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.Revision

/** Records the results of the steps of one endpoint, each once, and repeats what the log did not take. */
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

    /** Sends what is not recorded yet. */
    suspend fun sendPending() {
        val report = pending ?: return
        if (report.send(reporter).isRight()) pending = null
    }
}
