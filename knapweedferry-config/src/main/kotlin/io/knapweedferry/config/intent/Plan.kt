package io.knapweedferry.config.intent

import io.knapweedferry.api.Revision
import io.knapweedferry.config.state.ConfigState
import kotlinx.serialization.Serializable

/** Proposed change for an intent, with its steps and cost. It takes effect only when an operator confirms it. */
@Serializable
public data class Plan(
    /** Revision that the plan is based on; the plan can be confirmed only while this is the latest revision. */
    val base: Revision,
    /** One-line summary of the intent for listings. */
    val summary: String,
    val changes: List<Change>,
    val steps: List<PlanStep> = emptyList(),
    val cost: PlanCost = PlanCost(),
    val warnings: List<PlanWarning> = emptyList(),
) {
    /** Applies all changes to [state], which must be the configuration at revision [base]. */
    public fun newState(state: ConfigState): ConfigState = changes.fold(state) { current, change -> change.applyTo(current) }
}
