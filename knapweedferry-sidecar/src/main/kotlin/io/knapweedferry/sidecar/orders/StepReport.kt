package io.knapweedferry.sidecar.orders

import arrow.core.Either
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.Revision
import io.knapweedferry.platform.PlatformError

/** Result of a plan step, to be recorded in the log. */
internal data class StepReport(
    val endpoint: EndpointId,
    val revision: Revision,
    /** Why the step failed, or null if it was applied. */
    val failure: String?,
) {
    suspend fun send(reporter: StepReporter): Either<PlatformError, Unit> =
        if (failure == null) reporter.applied(endpoint, revision) else reporter.failed(endpoint, revision, failure)
}
