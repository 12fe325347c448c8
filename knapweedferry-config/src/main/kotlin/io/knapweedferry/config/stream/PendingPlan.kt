package io.knapweedferry.config.stream

import io.knapweedferry.api.OperatorName
import io.knapweedferry.api.PlanId
import io.knapweedferry.config.intent.Plan
import kotlinx.serialization.Serializable

/** Proposed plan that can still be confirmed. */
@Serializable
public data class PendingPlan(
    val id: PlanId,
    val recordId: RecordId,
    val operator: OperatorName,
    val atMs: Long,
    val plan: Plan,
)
