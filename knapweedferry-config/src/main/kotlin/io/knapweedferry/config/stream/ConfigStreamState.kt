package io.knapweedferry.config.stream

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.Revision
import io.knapweedferry.config.state.ConfigSnapshot
import io.knapweedferry.config.state.ConfigState
import io.knapweedferry.config.state.EndpointAssignment
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** State of the `config` stream up to an offset. Two processes at the same offset have equal states. */
@Serializable
public data class ConfigStreamState(
    val revision: Revision = Revision.NONE,
    /** Offset of the last applied record, or -1. */
    @SerialName("foldedOffset")
    val appliedOffset: Long = -1,
    /** Configuration at [revision], including changes whose steps are not completed yet. */
    val accepted: ConfigState = ConfigState(),
    /** Unconfirmed plans based on the current revision, oldest first. */
    val pending: List<PendingPlan> = emptyList(),
    /** Most recent decisions, oldest first. */
    val history: List<Decision> = emptyList(),
    val rollout: Rollout? = null,
) {
    /**
     * Returns the configuration for the request path: the accepted one, except that engines with an unfinished step keep
     * their previous assignment. Engines of the active batch are marked as draining because they are about to be reassigned.
     */
    public fun snapshot(): ConfigSnapshot = ConfigSnapshot(revision, accepted.copy(endpoints = effectiveEndpoints()), appliedOffset)

    /** Returns what [endpoint] has to serve now, or null if it has no assignment. */
    public fun target(endpoint: EndpointId): EndpointTarget? {
        val assignment = accepted.endpoints[endpoint] ?: return null
        val step = rollout?.unfinishedStep(endpoint) ?: return EndpointTarget(revision, assignment, versionOf(assignment))
        if (step.batch == rollout.activeBatch) {
            return EndpointTarget(revision, step.assignment.copy(draining = assignment.draining), step.version, rollout.plan, step.number)
        }
        val previous = rollout.previous[endpoint] ?: return null
        return EndpointTarget(revision, previous.assignment, previous.version)
    }

    /** Returns what the engine [endpoint] has loaded according to the stream; null for services. */
    public fun loadedAssignment(endpoint: EndpointId): LoadedAssignment? {
        if (rollout?.unfinishedStep(endpoint) != null) return rollout.previous[endpoint]
        val assignment = accepted.endpoints[endpoint] ?: return null
        return versionOf(assignment)?.let { LoadedAssignment(assignment, it) }
    }

    private fun versionOf(assignment: EndpointAssignment): String? = assignment.model?.let { accepted.models[it]?.version }

    private fun effectiveEndpoints(): Map<EndpointId, EndpointAssignment> {
        val unfinished = rollout?.steps?.filter { it.number !in rollout.applied } ?: return accepted.endpoints
        if (unfinished.isEmpty()) return accepted.endpoints
        val endpoints = accepted.endpoints.toMutableMap()
        for (step in unfinished) {
            val accepted = endpoints[step.endpoint] ?: continue
            val previous = rollout.previous[step.endpoint]?.assignment
            if (previous == null) {
                endpoints.remove(step.endpoint)
            } else {
                val draining = accepted.draining || previous.draining || step.batch == rollout.activeBatch
                endpoints[step.endpoint] = previous.copy(draining = draining)
            }
        }
        return endpoints
    }
}
