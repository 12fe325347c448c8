package io.knapweedferry.config.stream

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.PlanId
import io.knapweedferry.api.Revision
import io.knapweedferry.config.intent.PlanStep
import kotlinx.serialization.Serializable

/** Progress of the steps of the newest accepted plan. */
@Serializable
public data class Rollout(
    val plan: PlanId,
    val revision: Revision,
    val steps: List<PlanStep>,
    val applied: Set<Int> = emptySet(),
    /** Reason for each failed step. */
    val failed: Map<Int, String> = emptyMap(),
    /** What the endpoints of the steps served when the plan was accepted. */
    val previous: Map<EndpointId, Serving> = emptyMap(),
) {
    /** Batch that is being carried out, or null if the plan is done or has stopped. */
    val activeBatch: Int?
        get() = if (failed.isNotEmpty()) null else steps.firstOrNull { it.number !in applied }?.batch

    /** True once all steps are applied. */
    val done: Boolean get() = applied.size == steps.size

    /** Returns the step for [endpoint] that is not applied yet. */
    public fun openStep(endpoint: EndpointId): PlanStep? = steps.firstOrNull { it.endpoint == endpoint && it.number !in applied }
}
