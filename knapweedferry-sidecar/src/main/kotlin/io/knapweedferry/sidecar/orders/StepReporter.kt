package io.knapweedferry.sidecar.orders

import arrow.core.Either
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.Revision
import io.knapweedferry.platform.PlatformError

/** Connects the sidecar with the steps of a plan. */
public interface StepReporter {
    /** Whether the step that changes [endpoint] at [revision] or before may be applied. Reads memory only. */
    public fun turn(
        endpoint: EndpointId,
        revision: Revision,
    ): StepTurn

    /** Records that what the configuration at [revision] says of [endpoint] is in force. Repeated until it succeeds. */
    public suspend fun applied(
        endpoint: EndpointId,
        revision: Revision,
    ): Either<PlatformError, Unit>

    /** Records that the step could not be applied, which stops the plan. Repeated until it succeeds. */
    public suspend fun failed(
        endpoint: EndpointId,
        revision: Revision,
        detail: String,
    ): Either<PlatformError, Unit>
}
