package io.knapweedferry.sidecar.server

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.knapweedferry.api.ModelName
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.api.ServiceName
import io.knapweedferry.config.state.ConfigSnapshot
import io.knapweedferry.config.state.EndpointAssignment
import io.knapweedferry.config.state.EndpointRole

/** Checks requests against the model, role or service that the configuration assigns to an endpoint. */
internal class AssignmentCheck(
    private val context: SidecarContext,
) {
    /** Returns null if the configuration assigns [model] and one of [roles] to [endpoint], else the refusal. */
    fun forModel(
        endpoint: Endpoint,
        model: ModelName,
        roles: Set<EndpointRole>,
    ): Refusal? =
        check(endpoint).fold({ it }) { (_, assignment) ->
            when {
                assignment.model != model -> wrongModel("the endpoint serves ${assignment.model?.value ?: "no model"}")
                assignment.role !in roles -> wrongModel("the role of the endpoint is ${assignment.role}")
                else -> null
            }
        }

    /** Returns the current configuration if it assigns [service] to [endpoint]. */
    fun forService(
        endpoint: Endpoint,
        service: ServiceName,
    ): Either<Refusal, ConfigSnapshot> =
        check(endpoint).fold({ it.left() }) { (snapshot, assignment) ->
            if (assignment.service == service) snapshot.right() else wrongModel("the endpoint serves ${assignment.service?.value}").left()
        }

    private fun check(endpoint: Endpoint): Either<Refusal, Pair<ConfigSnapshot, EndpointAssignment>> {
        if (!endpoint.state.acceptsWork) return Refusal(RefusalReason.ENDPOINT_LEAVING).left()
        val snapshot = context.config.current() ?: return Refusal(RefusalReason.NOT_READY).left()
        val assignment = snapshot.state.endpoints[endpoint.id] ?: return Refusal(RefusalReason.ENDPOINT_UNAVAILABLE, "unassigned").left()
        if (assignment.draining) return Refusal(RefusalReason.ENDPOINT_LEAVING).left()
        return (snapshot to assignment).right()
    }

    private fun wrongModel(detail: String) = Refusal(RefusalReason.WRONG_MODEL, detail)
}
