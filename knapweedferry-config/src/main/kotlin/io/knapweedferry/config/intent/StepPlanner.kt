package io.knapweedferry.config.intent

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ModelName
import io.knapweedferry.config.state.ConfigState
import io.knapweedferry.config.state.EndpointAssignment
import io.knapweedferry.config.state.EndpointRole
import io.knapweedferry.config.stream.FoldState

/** Orders the engines that have to load something so that each batch leaves at least half of each role of each model serving. */
internal class StepPlanner(
    private val fold: FoldState,
    private val after: ConfigState,
) {
    private val effective = fold.snapshot().state.endpoints

    private data class Group(
        val model: ModelName,
        val role: EndpointRole,
    )

    private class Move(
        val endpoint: EndpointId,
        val from: Group?,
        val to: Group?,
        val assignment: EndpointAssignment,
        val version: String,
    )

    /** Steps in order, and the names of the groups whose only endpoint has to pause. */
    class Steps(
        val steps: List<PlanStep>,
        val pauses: List<String>,
    )

    fun plan(): Steps {
        val serving = servingCounts()
        val open = moves().toMutableList()
        val steps = mutableListOf<PlanStep>()
        val pauses = mutableListOf<String>()
        var batch = 0
        while (open.isNotEmpty()) {
            val chosen = nextBatch(open, serving).ifEmpty { listOf(open.first().also { pauses += nameOf(it.from) }) }
            for (move in chosen) {
                steps += PlanStep(steps.size, batch, move.endpoint, move.assignment, move.version)
                move.from?.let { serving[it] = serving.getValue(it) - 1 }
            }
            for (move in chosen) move.to?.let { serving[it] = (serving[it] ?: 0) + 1 }
            open -= chosen.toSet()
            batch++
        }
        return Steps(steps, pauses)
    }

    /** Takes as many endpoints as may be missing at once; a group with one endpoint yields none. */
    private fun nextBatch(
        open: List<Move>,
        serving: Map<Group, Int>,
    ): List<Move> {
        val taken = HashMap<Group, Int>()
        return open.filter { move ->
            val group = move.from ?: return@filter true
            val count = taken[group] ?: 0
            if (count + 1 > serving.getValue(group) / 2) return@filter false
            taken[group] = count + 1
            true
        }
    }

    private fun servingCounts(): MutableMap<Group, Int> =
        effective.keys
            .mapNotNull { fromGroup(it) }
            .groupingBy { it }
            .eachCount()
            .toMutableMap()

    private fun moves(): List<Move> =
        after.endpoints.entries.sortedBy { it.key.value }.mapNotNull { (endpoint, assignment) ->
            val version = assignment.model?.let { after.models[it]?.version } ?: return@mapNotNull null
            // An open step of the plan in progress may be carried out before this plan is confirmed, so it is decided anew.
            val pending = fold.rollout?.openStep(endpoint) != null
            val serving = fold.serving(endpoint)
            val same = serving?.version == version && serving.assignment.copy(draining = assignment.draining) == assignment
            if (same && !pending) return@mapNotNull null
            Move(endpoint, fromGroup(endpoint), group(assignment), assignment.copy(draining = false), version)
        }

    /** Group that [endpoint] serves until its step; none if the change removes or drains it, which takes effect at once. */
    private fun fromGroup(endpoint: EndpointId): Group? {
        if (after.endpoints[endpoint]?.draining != false) return null
        val effective = effective[endpoint] ?: return null
        return group(effective)
    }

    private fun group(assignment: EndpointAssignment): Group? =
        assignment.model
            ?.takeIf {
                !assignment.draining
            }?.let { Group(it, assignment.role) }

    private fun nameOf(group: Group?): String = if (group == null) "" else "${group.model.value} ${group.role.name.lowercase()}"
}
