package io.knapweedferry.config.intent

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ModelName
import io.knapweedferry.config.state.ConfigState
import io.knapweedferry.config.state.EndpointAssignment
import io.knapweedferry.config.state.EndpointRole
import io.knapweedferry.config.stream.FoldState
import io.knapweedferry.platform.instance.EndpointKind

/** Finds what an operator should know before confirming a change from [fold] to [after]. */
internal class PlanWarnings(
    private val fold: FoldState,
    private val after: ConfigState,
    private val listed: Map<EndpointId, EndpointKind>?,
) {
    private val before = fold.accepted

    fun list(steps: StepPlanner.Steps): List<PlanWarning> =
        lostRole(DECODING, PlanWarningCode.NO_DECODE_ENDPOINT, "decodes") +
            lostRole(PREFILLING, PlanWarningCode.NO_PREFILL_ENDPOINT, "prefills") +
            lostServices() +
            capacityDrops() +
            steps.pauses.map {
                warning(
                    PlanWarningCode.PAUSE_IN_SERVICE,
                    "$it has a single endpoint and pauses while it loads; add another first",
                )
            } +
            notListed() +
            superseded()

    /** A model that nothing used before and nothing uses now needs no endpoint. */
    private fun lostRole(
        roles: Set<EndpointRole>,
        code: PlanWarningCode,
        verb: String,
    ): List<PlanWarning> =
        after.models.keys.filter { !served(after, it, roles) && (served(before, it, roles) || isNewlyUsed(it)) }.map {
            warning(code, "model ${it.value} has no endpoint left that $verb; assign one, or force the change")
        }

    private fun served(
        state: ConfigState,
        model: ModelName,
        roles: Set<EndpointRole>,
    ): Boolean = state.endpoints.values.any { it.model == model && it.role in roles && !it.draining }

    private fun isNewlyUsed(model: ModelName): Boolean =
        after.work.values.any { it.model == model } && before.work.values.none { it.model == model }

    private fun lostServices(): List<PlanWarning> {
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

    /** Removals and drains take effect at once, whereas replacements first have to load. */
    private fun capacityDrops(): List<PlanWarning> {
        val lost = before.endpoints.filter { (id, old) -> !old.draining && after.endpoints[id]?.draining != false }
        return before.endpoints.values.filter { !it.draining }.groupingBy { served(it) }.eachCount().mapNotNull { (name, count) ->
            val gone = lost.values.count { served(it) == name }
            if (gone * 2 <= count) return@mapNotNull null
            val text = "$name loses $gone of $count endpoints at once; drain them in smaller groups"
            warning(PlanWarningCode.CAPACITY_DROP, text)
        }
    }

    private fun served(assignment: EndpointAssignment): String =
        "${assignment.model?.value ?: assignment.service?.value} ${assignment.role.name.lowercase()}"

    private fun notListed(): List<PlanWarning> {
        val known = listed ?: return emptyList()
        return after.endpoints.keys.filter { it !in known && it !in before.endpoints }.map {
            warning(
                PlanWarningCode.ENDPOINT_NOT_LISTED,
                "the platform does not list endpoint ${it.value}; check the id or wait until it is up",
            )
        }
    }

    private fun superseded(): List<PlanWarning> {
        val rollout = fold.rollout ?: return emptyList()
        if (rollout.done) return emptyList()
        val open = rollout.steps.size - rollout.applied.size
        val text = "change ${rollout.revision.value} has $open open steps, which this plan takes over; wait for it or review the steps"
        return listOf(warning(PlanWarningCode.SUPERSEDES_PLAN, text))
    }

    private fun warning(
        code: PlanWarningCode,
        message: String,
    ) = PlanWarning(code, message)

    private companion object {
        val DECODING = setOf(EndpointRole.DECODE, EndpointRole.MIXED)
        val PREFILLING = setOf(EndpointRole.PREFILL, EndpointRole.MIXED)
    }
}
