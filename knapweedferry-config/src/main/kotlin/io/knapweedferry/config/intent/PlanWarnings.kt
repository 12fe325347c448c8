package io.knapweedferry.config.intent

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ModelName
import io.knapweedferry.config.state.ConfigState
import io.knapweedferry.config.state.EndpointAssignment
import io.knapweedferry.config.state.EndpointRole
import io.knapweedferry.config.stream.ConfigStreamState
import io.knapweedferry.platform.instance.EndpointKind

/** Collects the warnings about a change from the configuration of [state] to [after]. */
internal class PlanWarnings(
    private val state: ConfigStreamState,
    private val after: ConfigState,
    private val listedEndpoints: Map<EndpointId, EndpointKind>?,
) {
    private val before = state.accepted

    fun collect(planned: StepPlanner.PlannedSteps): List<PlanWarning> =
        modelsWithoutRole(DECODE_ROLES, PlanWarningCode.NO_DECODE_ENDPOINT, "decodes") +
            modelsWithoutRole(PREFILL_ROLES, PlanWarningCode.NO_PREFILL_ENDPOINT, "prefills") +
            servicesWithoutEndpoint() +
            capacityDrops() +
            planned.interruptedGroups.map {
                warning(
                    PlanWarningCode.PAUSE_IN_SERVICE,
                    "$it has a single endpoint and is unavailable while it loads; add another endpoint first",
                )
            } +
            unlistedEndpoints() +
            supersededPlan()

    /** Skips models that had no such endpoint before unless a work kind now starts to use them. */
    private fun modelsWithoutRole(
        roles: Set<EndpointRole>,
        code: PlanWarningCode,
        verb: String,
    ): List<PlanWarning> =
        after.models.keys.filter { !hasEndpoint(after, it, roles) && (hasEndpoint(before, it, roles) || isNewlyUsed(it)) }.map {
            warning(code, "model ${it.value} has no endpoint left that $verb; assign one, or force the change")
        }

    private fun hasEndpoint(
        state: ConfigState,
        model: ModelName,
        roles: Set<EndpointRole>,
    ): Boolean = state.endpoints.values.any { it.model == model && it.role in roles && !it.draining }

    private fun isNewlyUsed(model: ModelName): Boolean =
        after.work.values.any { it.model == model } && before.work.values.none { it.model == model }

    private fun servicesWithoutEndpoint(): List<PlanWarning> {
        fun isServed(
            state: ConfigState,
            name: String,
        ) = state.endpoints.values.any { it.service?.value == name && !it.draining }
        return after.services.keys
            .filter { !isServed(after, it.value) && (isServed(before, it.value) || it !in before.services) }
            .map {
                warning(
                    PlanWarningCode.NO_SERVICE_ENDPOINT,
                    "service ${it.value} has no endpoint left; assign one, or force the change",
                )
            }
    }

    /** Removed and drained endpoints stop serving at once, while replacements have to load first. */
    private fun capacityDrops(): List<PlanWarning> {
        val lost = before.endpoints.filter { (id, old) -> !old.draining && after.endpoints[id]?.draining != false }
        return before.endpoints.values.filter { !it.draining }.groupingBy { groupName(it) }.eachCount().mapNotNull { (name, count) ->
            val lostCount = lost.values.count { groupName(it) == name }
            if (lostCount * 2 <= count) return@mapNotNull null
            val text = "$name loses $lostCount of $count endpoints at once; drain them in smaller groups"
            warning(PlanWarningCode.CAPACITY_DROP, text)
        }
    }

    private fun groupName(assignment: EndpointAssignment): String =
        "${assignment.model?.value ?: assignment.service?.value} ${assignment.role.name.lowercase()}"

    private fun unlistedEndpoints(): List<PlanWarning> {
        val listed = listedEndpoints ?: return emptyList()
        return after.endpoints.keys.filter { it !in listed && it !in before.endpoints }.map {
            warning(
                PlanWarningCode.ENDPOINT_NOT_LISTED,
                "the platform does not list endpoint ${it.value}; check the id or wait until it is up",
            )
        }
    }

    private fun supersededPlan(): List<PlanWarning> {
        val rollout = state.rollout ?: return emptyList()
        if (rollout.isComplete) return emptyList()
        val unfinished = rollout.steps.size - rollout.applied.size
        val text =
            "change ${rollout.revision.value} has $unfinished unfinished steps, which this plan supersedes; " +
                "wait for it or review the steps"
        return listOf(warning(PlanWarningCode.SUPERSEDES_PLAN, text))
    }

    private fun warning(
        code: PlanWarningCode,
        message: String,
    ) = PlanWarning(code, message)

    private companion object {
        val DECODE_ROLES = setOf(EndpointRole.DECODE, EndpointRole.MIXED)
        val PREFILL_ROLES = setOf(EndpointRole.PREFILL, EndpointRole.MIXED)
    }
}
