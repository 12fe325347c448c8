package io.knapweedferry.config.intent

import io.knapweedferry.api.Revision
import io.knapweedferry.config.state.ConfigState
import kotlinx.serialization.Serializable

/** Answer to an intent: what would change, in which order, at which cost. Changes nothing until it is confirmed. */
@Serializable
public data class Plan(
    /** Revision that the plan was made for; a confirmation counts only while this is the newest one. */
    val base: Revision,
    /** The intent in a few words, for lists and explanations. */
    val summary: String,
    val changes: List<Change>,
    val steps: List<PlanStep> = emptyList(),
    val cost: PlanCost = PlanCost(),
    val warnings: List<PlanWarning> = emptyList(),
) {
    /** State that the plan leads to; [state] must be the one at [base]. */
    public fun newState(state: ConfigState): ConfigState = changes.fold(state) { folded, change -> change.applyTo(folded) }
}
