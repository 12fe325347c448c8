package io.knapweedferry.config.intent

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.knapweedferry.api.EndpointId
import io.knapweedferry.config.state.EndpointRole
import io.knapweedferry.config.stream.ConfigStreamState
import io.knapweedferry.platform.instance.EndpointKind
import io.knapweedferry.platform.weight.WeightInfo

/** Creates plans from intents. A pure function of its arguments: data from the platform is passed in by the caller. */
public object Planner {
    /** Plans [intent] based on [state]. [listed] holds the endpoints of the platform's instance list, or null if it is unavailable. */
    public fun plan(
        intent: Intent,
        state: ConfigStreamState,
        listed: Map<EndpointId, EndpointKind>? = null,
    ): Either<IntentProblem, Plan> =
        IntentResolver.resolve(state.accepted, intent).flatMap { after ->
            val changes = ConfigDiff.between(state.accepted, after)
            val planned = StepPlanner(state, after).plan()
            val warnings = PlanWarnings(state, after, listed).collect(planned)
            val problem =
                ConfigValidator(after).firstProblem()
                    ?: nothingToChange(changes)
                    ?: kindMismatch(changes, listed)
                    ?: needsForce(intent, warnings)
            problem?.left() ?: Plan(state.revision, IntentResolver.summary(intent), changes, planned.steps, warnings = warnings).right()
        }

    /** Returns the model versions that engines have to load for [plan]. */
    public fun versionsToLoad(
        plan: Plan,
        state: ConfigStreamState,
    ): Set<ModelVersion> = modelLoads(plan, state).toSet()

    /** Returns [plan] with its cost and a warning for each model version that [weights] lacks. */
    public fun withCost(
        plan: Plan,
        state: ConfigStreamState,
        weights: Map<ModelVersion, WeightInfo>,
    ): Plan {
        val loads = modelLoads(plan, state)
        val known = loads.mapNotNull { weights[it] }
        val seconds = known.sumOf { it.sizeBytes.toDouble() / it.rateBytesPerSecond.coerceAtLeast(1) }
        val missing = loads.filter { it !in weights }.distinct()
        val warnings =
            missing.map {
                val text = "the weight store has no ${it.model.value} ${it.version}, so the cost excludes it; check the name"
                PlanWarning(PlanWarningCode.COST_UNKNOWN, text)
            }
        return plan.copy(cost = PlanCost(known.sumOf { it.sizeBytes }, Math.ceil(seconds).toLong()), warnings = plan.warnings + warnings)
    }

    private fun modelLoads(
        plan: Plan,
        state: ConfigStreamState,
    ): List<ModelVersion> =
        plan.steps.mapNotNull { step ->
            val model = step.assignment.model ?: return@mapNotNull null
            val loaded = state.loadedAssignment(step.endpoint)
            val isLoaded = loaded?.assignment?.model == model && loaded.version == step.version
            if (isLoaded) null else ModelVersion(model, step.version)
        }

    private fun nothingToChange(changes: List<Change>): IntentProblem? {
        if (changes.isNotEmpty()) return null
        return IntentProblem(IntentProblemCode.NOTHING_TO_CHANGE, "the configuration already has these values; nothing to do")
    }

    private fun kindMismatch(
        changes: List<Change>,
        listed: Map<EndpointId, EndpointKind>?,
    ): IntentProblem? {
        val mismatch =
            changes.filterIsInstance<Change.Endpoint>().firstOrNull { change ->
                val kind = listed?.get(change.endpoint) ?: return@firstOrNull false
                val role = change.after?.role ?: return@firstOrNull false
                (kind == EndpointKind.SERVICE) != (role == EndpointRole.SERVICE)
            } ?: return null
        val text = "role ${mismatch.after?.role} does not match the kind of endpoint ${mismatch.endpoint.value}; choose a matching role"
        return IntentProblem(IntentProblemCode.KIND_MISMATCH, text)
    }

    private fun needsForce(
        intent: Intent,
        warnings: List<PlanWarning>,
    ): IntentProblem? {
        val blocking = warnings.filter { it.code.needsForce }
        if (intent.force || blocking.isEmpty()) return null
        return IntentProblem(IntentProblemCode.NEEDS_FORCE, blocking.joinToString(" ") { it.message })
    }
}
