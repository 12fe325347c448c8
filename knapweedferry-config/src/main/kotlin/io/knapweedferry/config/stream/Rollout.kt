package io.knapweedferry.config.stream

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.PlanId
import io.knapweedferry.api.Revision
import io.knapweedferry.config.intent.PlanStep
import kotlinx.serialization.Serializable

/** Progress of the steps of the most recently accepted plan. */
@Serializable
public data class Rollout(
    val plan: PlanId,
    val revision: Revision,
    val steps: List<PlanStep>,
    val applied: Set<Int> = emptySet(),
    /** Failure reason by step number. */
    val failed: Map<Int, String> = emptyMap(),
    /** What the endpoints of the steps served before the plan was accepted. */
    val previous: Map<EndpointId, LoadedAssignment> = emptyMap(),
) {
    /** Batch in progress, or null if the rollout is complete or was stopped by a failed step. */
    val activeBatch: Int?
        get() = if (failed.isNotEmpty()) null else steps.firstOrNull { it.number !in applied }?.batch

    /** True if all steps are applied. */
    val isComplete: Boolean get() = applied.size == steps.size

    /** Returns the unfinished step of [endpoint], or null. */
    public fun unfinishedStep(endpoint: EndpointId): PlanStep? = steps.firstOrNull { it.endpoint == endpoint && it.number !in applied }
}
