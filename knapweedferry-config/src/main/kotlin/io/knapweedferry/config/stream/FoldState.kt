package io.knapweedferry.config.stream

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.Revision
import io.knapweedferry.config.state.ConfigSnapshot
import io.knapweedferry.config.state.ConfigState
import io.knapweedferry.config.state.EndpointAssignment
import kotlinx.serialization.Serializable

/** Result of folding the `config` stream up to an offset. Two processes with the same offset have equal values. */
@Serializable
public data class FoldState(
    val revision: Revision = Revision.NONE,
    /** Last offset that was folded, or -1. */
    val foldedOffset: Long = -1,
    /** Configuration that the operators have accepted. */
    val accepted: ConfigState = ConfigState(),
    /** Plans for the current revision, oldest first. */
    val pending: List<PendingPlan> = emptyList(),
    /** Latest decisions, oldest first. */
    val history: List<Decision> = emptyList(),
    val rollout: Rollout? = null,
) {
    /**
     * Configuration for the request path: the accepted one, in which engines with an open step keep their former
     * assignment, and those of the active batch are draining because they are about to load something else.
     */
    public fun snapshot(): ConfigSnapshot = ConfigSnapshot(revision, accepted.copy(endpoints = effectiveEndpoints()), foldedOffset)

    /** Returns what [endpoint] should serve now, or null if nothing is assigned to it. */
    public fun target(endpoint: EndpointId): EndpointTarget? {
        val assignment = accepted.endpoints[endpoint] ?: return null
        val step = rollout?.openStep(endpoint) ?: return EndpointTarget(revision, assignment, versionOf(assignment))
        if (step.batch == rollout.activeBatch) {
            return EndpointTarget(revision, step.assignment.copy(draining = assignment.draining), step.version, rollout.plan, step.number)
        }
        val previous = rollout.previous[endpoint] ?: return null
        return EndpointTarget(revision, previous.assignment, previous.version)
    }

    /** Returns what the engine [endpoint] has loaded as far as the stream tells; null for services. */
    public fun serving(endpoint: EndpointId): Serving? {
        if (rollout?.openStep(endpoint) != null) return rollout.previous[endpoint]
        val assignment = accepted.endpoints[endpoint] ?: return null
        return versionOf(assignment)?.let { Serving(assignment, it) }
    }

    private fun versionOf(assignment: EndpointAssignment): String? = assignment.model?.let { accepted.models[it]?.version }

    private fun effectiveEndpoints(): Map<EndpointId, EndpointAssignment> {
        val open = rollout?.steps?.filter { it.number !in rollout.applied } ?: return accepted.endpoints
        if (open.isEmpty()) return accepted.endpoints
        val endpoints = accepted.endpoints.toMutableMap()
        for (step in open) {
            val accepted = endpoints[step.endpoint] ?: continue
            val previous = rollout.previous[step.endpoint]?.assignment
            if (previous == null) {
                endpoints.remove(step.endpoint)
            } else {
                val leaving = accepted.draining || previous.draining || step.batch == rollout.activeBatch
                endpoints[step.endpoint] = previous.copy(draining = leaving)
            }
        }
        return endpoints
    }
}
