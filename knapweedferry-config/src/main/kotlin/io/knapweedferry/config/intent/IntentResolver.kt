package io.knapweedferry.config.intent

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.knapweedferry.api.EndpointId
import io.knapweedferry.config.state.ConfigState

/** Computes the configuration that results from an intent. */
internal object IntentResolver {
    fun resolve(
        state: ConfigState,
        intent: Intent,
    ): Either<IntentProblem, ConfigState> =
        when (intent) {
            is Intent.ApplyFleet -> intent.state.right()
            is Intent.AssignEndpoint -> state.copy(endpoints = state.endpoints + (intent.endpoint to intent.assignment)).right()
            is Intent.DrainEndpoint -> drain(state, intent.endpoint)
            is Intent.RemoveEndpoint -> remove(state, intent.endpoint)
            is Intent.SetWork -> state.copy(work = state.work + (intent.work to intent.policy)).right()
            is Intent.SetRank -> state.copy(ranks = state.ranks + (intent.rank to intent.policy)).right()
            is Intent.SetOrganisation -> state.copy(organisations = state.organisations + (intent.organisation to intent.policy)).right()
            is Intent.SetModelVersion -> setVersion(state, intent)
        }

    /** Returns a one-line summary of [intent]. */
    fun summary(intent: Intent): String {
        val text =
            when (intent) {
                is Intent.ApplyFleet -> "apply fleet of ${intent.state.endpoints.size} endpoints"
                is Intent.AssignEndpoint -> "assign ${intent.endpoint.value} as ${assignmentText(intent)}"
                is Intent.DrainEndpoint -> "drain ${intent.endpoint.value}"
                is Intent.RemoveEndpoint -> "remove ${intent.endpoint.value}"
                is Intent.SetWork -> "work ${intent.work.value}: ${intent.policy.model.value}, ${intent.policy.rank.name.lowercase()}"
                is Intent.SetRank -> "rank ${intent.rank.name.lowercase()}"
                is Intent.SetOrganisation -> "organisation ${intent.organisation.value}"
                is Intent.SetModelVersion -> "model ${intent.model.value} to version ${intent.version}"
            }
        return if (intent.force) "$text (forced)" else text
    }

    private fun assignmentText(intent: Intent.AssignEndpoint): String {
        val assignment = intent.assignment
        val served = assignment.model?.value ?: assignment.service?.value ?: "nothing"
        val adapter = assignment.adapter?.let { " with adapter $it" } ?: ""
        return "${assignment.role.name.lowercase()} of $served$adapter"
    }

    private fun drain(
        state: ConfigState,
        endpoint: EndpointId,
    ): Either<IntentProblem, ConfigState> {
        val assignment = state.endpoints[endpoint] ?: return unknownEndpoint(endpoint).left()
        return state.copy(endpoints = state.endpoints + (endpoint to assignment.copy(draining = true))).right()
    }

    private fun remove(
        state: ConfigState,
        endpoint: EndpointId,
    ): Either<IntentProblem, ConfigState> {
        if (endpoint !in state.endpoints) return unknownEndpoint(endpoint).left()
        return state.copy(endpoints = state.endpoints - endpoint).right()
    }

    private fun setVersion(
        state: ConfigState,
        intent: Intent.SetModelVersion,
    ): Either<IntentProblem, ConfigState> {
        val name = intent.model.value
        val policy =
            state.models[intent.model]
                ?: return IntentProblem(IntentProblemCode.UNKNOWN_MODEL, "model $name is not configured; check the name").left()
        val changed = policy.copy(version = intent.version, contextTokens = intent.contextTokens ?: policy.contextTokens)
        return state.copy(models = state.models + (intent.model to changed)).right()
    }

    private fun unknownEndpoint(endpoint: EndpointId): IntentProblem =
        IntentProblem(
            IntentProblemCode.UNKNOWN_ENDPOINT,
            "endpoint ${endpoint.value} is not assigned; check the id in the list of endpoints",
        )
}
