package io.knapweedferry.config.report

import io.knapweedferry.config.stream.Decision
import kotlinx.serialization.Serializable

/** All that the stream tells about one plan: who proposed it, who confirmed it, what it lost to or won over, and its steps. */
@Serializable
public data class ChangeExplanation(
    val proposal: PlanReport,
    /** Confirmations of this plan in order, with the decision about each. */
    val confirmations: List<Decision>,
    /** Confirmations of other plans that were rejected because this one came first. */
    val rejected: List<Decision>,
    val steps: List<StepReport>,
    /** False if the log no longer holds all records or the reading was cut short. */
    val complete: Boolean,
)
