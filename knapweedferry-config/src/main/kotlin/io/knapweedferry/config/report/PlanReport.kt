package io.knapweedferry.config.report

import io.knapweedferry.api.OperatorName
import io.knapweedferry.api.PlanId
import io.knapweedferry.config.intent.Plan
import io.knapweedferry.config.stream.Decision
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Plan in responses of the operator API. */
@Serializable
public data class PlanReport(
    val id: PlanId,
    val status: PlanStatus,
    @SerialName("proposed_by")
    val proposedBy: OperatorName,
    @SerialName("at_ms")
    val atMs: Long,
    val plan: Plan,
    /** Decision after which the plan was no longer pending: its own acceptance or a conflicting change. */
    val decision: Decision? = null,
)
