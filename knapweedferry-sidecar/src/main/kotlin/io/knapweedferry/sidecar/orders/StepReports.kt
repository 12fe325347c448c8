package io.knapweedferry.sidecar.orders

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.Revision

/** Records the results of the steps of one endpoint, each once, and repeats what the log did not take. */
internal class StepReports(
    private val endpoint: EndpointId,
    private val reporter: StepReporter,
) {
    private var unsent: StepReport? = null
    private var reportedAt: Revision? = null

    suspend fun add(
        revision: Revision,
        failure: String? = null,
    ) {
        if (reportedAt == revision) return
        reportedAt = revision
        unsent = StepReport(endpoint, revision, failure)
        send()
    }

    /** Sends what is not recorded yet. */
    suspend fun send() {
        val report = unsent ?: return
        if (report.send(reporter).isRight()) unsent = null
    }
}
