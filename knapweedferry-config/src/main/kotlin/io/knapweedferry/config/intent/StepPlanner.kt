package io.knapweedferry.config.intent

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ModelName
import io.knapweedferry.config.state.ConfigState
import io.knapweedferry.config.state.EndpointAssignment
import io.knapweedferry.config.state.EndpointRole
import io.knapweedferry.config.stream.ConfigStreamState

/**
 * Orders the engine reassignments of a plan into batches. Each batch keeps at least half of the endpoints of every model
 * and role serving, except where a model and role has a single endpoint.
 */
internal class StepPlanner(
    private val state: ConfigStreamState,
    private val after: ConfigState,
) {
    private val effectiveEndpoints = state.snapshot().state.endpoints

    /** Endpoints that serve the same model in the same role. */
    private data class Group(
        val model: ModelName,
        val role: EndpointRole,
    )

    private class Reassignment(
        val endpoint: EndpointId,
        val currentGroup: Group?,
        val targetGroup: Group?,
        val assignment: EndpointAssignment,
        val version: String,
    )

    /** Ordered steps, and the names of the groups that are unavailable while their only endpoint is reassigned. */
    class PlannedSteps(
        val steps: List<PlanStep>,
        val interruptedGroups: List<String>,
    )

    fun plan(): PlannedSteps {
        val serving = servingCounts()
        val remaining = reassignments().toMutableList()
        val steps = mutableListOf<PlanStep>()
        val interruptedGroups = mutableListOf<String>()
        var batch = 0
        while (remaining.isNotEmpty()) {
            val selected =
                nextBatch(remaining, serving).ifEmpty { listOf(remaining.first().also { interruptedGroups += nameOf(it.currentGroup) }) }
            for (next in selected) {
                steps += PlanStep(steps.size, batch, next.endpoint, next.assignment, next.version)
                next.currentGroup?.let { serving[it] = serving.getValue(it) - 1 }
            }
            for (next in selected) next.targetGroup?.let { serving[it] = (serving[it] ?: 0) + 1 }
            remaining -= selected.toSet()
            batch++
        }
        return PlannedSteps(steps, interruptedGroups)
    }

    /** Selects up to half of the serving endpoints of each group, rounded down, so a group with one endpoint contributes none. */
    private fun nextBatch(
        remaining: List<Reassignment>,
        serving: Map<Group, Int>,
    ): List<Reassignment> {
        val selectedCounts = HashMap<Group, Int>()
        return remaining.filter { candidate ->
            val group = candidate.currentGroup ?: return@filter true
            val count = selectedCounts[group] ?: 0
            if (count + 1 > serving.getValue(group) / 2) return@filter false
            selectedCounts[group] = count + 1
            true
        }
    }

    private fun servingCounts(): MutableMap<Group, Int> =
        effectiveEndpoints.keys
            .mapNotNull { currentGroup(it) }
            .groupingBy { it }
            .eachCount()
            .toMutableMap()

    private fun reassignments(): List<Reassignment> =
        after.endpoints.entries.sortedBy { it.key.value }.mapNotNull { (endpoint, assignment) ->
            val version = assignment.model?.let { after.models[it]?.version } ?: return@mapNotNull null
            // An unfinished step of the current rollout may be applied before this plan is confirmed, so this endpoint is planned again.
            val unfinished = state.rollout?.unfinishedStep(endpoint) != null
            val loaded = state.loadedAssignment(endpoint)
            val unchanged = loaded?.version == version && loaded.assignment.copy(draining = assignment.draining) == assignment
            if (unchanged && !unfinished) return@mapNotNull null
            Reassignment(endpoint, currentGroup(endpoint), group(assignment), assignment.copy(draining = false), version)
        }

    /** Group that [endpoint] serves until its step runs; null if the change removes or drains it, which takes effect at once. */
    private fun currentGroup(endpoint: EndpointId): Group? {
        if (after.endpoints[endpoint]?.draining != false) return null
        val assignment = effectiveEndpoints[endpoint] ?: return null
        return group(assignment)
    }

    private fun group(assignment: EndpointAssignment): Group? =
        assignment.model
            ?.takeIf {
                !assignment.draining
            }?.let { Group(it, assignment.role) }

    private fun nameOf(group: Group?): String = if (group == null) "" else "${group.model.value} ${group.role.name.lowercase()}"
}
