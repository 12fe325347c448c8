package io.knapweedferry.config.intent

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.knapweedferry.api.EndpointId
import io.knapweedferry.config.state.EndpointRole
import io.knapweedferry.config.stream.FoldState
import io.knapweedferry.platform.instance.EndpointKind
import io.knapweedferry.platform.weight.WeightInfo

/** Turns an intent into a plan. Pure: what the platform knows is passed in. */
public object Planner {
    /** Plans [intent] on top of [fold]. [listed] are the endpoints that the platform lists, or null if it does not answer. */
    public fun plan(
        intent: Intent,
        fold: FoldState,
        listed: Map<EndpointId, EndpointKind>? = null,
    ): Either<IntentProblem, Plan> =
        IntentEffect.on(fold.accepted, intent).flatMap { after ->
            val changes = ConfigDiff.between(fold.accepted, after)
            val steps = StepPlanner(fold, after).plan()
            val warnings = PlanWarnings(fold, after, listed).list(steps)
            val problem =
                StateCheck(after).problem()
                    ?: nothingToChange(changes)
                    ?: kindMismatch(changes, listed)
                    ?: needsForce(intent, warnings)
            problem?.left() ?: Plan(fold.revision, IntentEffect.summary(intent), changes, steps.steps, warnings = warnings).right()
        }

    /** Model versions whose size decides the cost of [plan]. */
    public fun versionsToLoad(
        plan: Plan,
        fold: FoldState,
    ): Set<ModelVersion> = loads(plan, fold).toSet()

    /** Returns [plan] with its cost; versions missing from [weights] are warned about. */
    public fun withCost(
        plan: Plan,
        fold: FoldState,
        weights: Map<ModelVersion, WeightInfo>,
    ): Plan {
        val loads = loads(plan, fold)
        val known = loads.mapNotNull { weights[it] }
        val seconds = known.sumOf { it.sizeBytes.toDouble() / it.rateBytesPerSecond.coerceAtLeast(1) }
        val unknown = loads.filter { it !in weights }.distinct()
        val warnings =
            unknown.map {
                val text = "the weight store does not know ${it.model.value} ${it.version}; the cost leaves it out, check the name"
                PlanWarning(PlanWarningCode.COST_UNKNOWN, text)
            }
        return plan.copy(cost = PlanCost(known.sumOf { it.sizeBytes }, Math.ceil(seconds).toLong()), warnings = plan.warnings + warnings)
    }

    private fun loads(
        plan: Plan,
        fold: FoldState,
    ): List<ModelVersion> =
        plan.steps.mapNotNull { step ->
            val model = step.assignment.model ?: return@mapNotNull null
            val serving = fold.serving(step.endpoint)
            val loaded = serving?.assignment?.model == model && serving.version == step.version
            if (loaded) null else ModelVersion(model, step.version)
        }

    private fun nothingToChange(changes: List<Change>): IntentProblem? {
        if (changes.isNotEmpty()) return null
        return IntentProblem(IntentProblemCode.NOTHING_TO_CHANGE, "the configuration already says this; nothing to do")
    }

    private fun kindMismatch(
        changes: List<Change>,
        listed: Map<EndpointId, EndpointKind>?,
    ): IntentProblem? {
        val wrong =
            changes.filterIsInstance<Change.Endpoint>().firstOrNull { change ->
                val kind = listed?.get(change.endpoint) ?: return@firstOrNull false
                val role = change.after?.role ?: return@firstOrNull false
                (kind == EndpointKind.SERVICE) != (role == EndpointRole.SERVICE)
            } ?: return null
        val text = "endpoint ${wrong.endpoint.value} is of another kind than role ${wrong.after?.role}; choose a role that fits it"
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
