package io.knapweedferry.config.report

import io.knapweedferry.config.stream.Decision
import kotlinx.serialization.Serializable

/** History of one plan: its proposal, its confirmations, the conflicting confirmations and the progress of its steps. */
@Serializable
public data class ChangeExplanation(
    val proposal: PlanReport,
    /** Decisions on the confirmations of this plan, in log order. */
    val confirmations: List<Decision>,
    /** Rejected confirmations of other plans that conflicted with this one. */
    val rejected: List<Decision>,
    val steps: List<StepReport>,
    /** False if records were missing from the log or not all of them were read. */
    val complete: Boolean,
)
