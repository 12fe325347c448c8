package io.knapweedferry.sidecar.orders

import arrow.core.Either
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.Revision
import io.knapweedferry.platform.PlatformError

/** Looks up and records the state of plan steps. */
public interface StepReporter {
    /** Returns the state of the plan step that changes [endpoint] at or before [revision]. Does no I/O. */
    public fun stepState(
        endpoint: EndpointId,
        revision: Revision,
    ): PlanStepState

    /** Records that the configuration of [endpoint] at [revision] is in effect. The caller retries until it succeeds. */
    public suspend fun applied(
        endpoint: EndpointId,
        revision: Revision,
    ): Either<PlatformError, Unit>

    /** Records that the step could not be applied, which stops the plan. The caller retries until it succeeds. */
    public suspend fun failed(
        endpoint: EndpointId,
        revision: Revision,
        detail: String,
    ): Either<PlatformError, Unit>
}
