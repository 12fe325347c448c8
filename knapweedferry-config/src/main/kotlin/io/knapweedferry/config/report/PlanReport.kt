package io.knapweedferry.config.report

import io.knapweedferry.api.OperatorName
import io.knapweedferry.api.PlanId
import io.knapweedferry.config.intent.Plan
import io.knapweedferry.config.stream.Decision
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A plan as the operator interface shows it. */
@Serializable
public data class PlanReport(
    val id: PlanId,
    val status: PlanStatus,
    @SerialName("proposed_by")
    val proposedBy: OperatorName,
    @SerialName("at_ms")
    val atMs: Long,
    val plan: Plan,
    /** Decision that ended the plan's time as a pending one: its own acceptance, or the change that came first. */
    val decision: Decision? = null,
)
