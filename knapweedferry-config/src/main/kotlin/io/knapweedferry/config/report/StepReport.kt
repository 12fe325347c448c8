package io.knapweedferry.config.report

import io.knapweedferry.config.intent.PlanStep
import io.knapweedferry.config.stream.Rollout
import kotlinx.serialization.Serializable

/** Step of a plan and its progress. */
@Serializable
public data class StepReport(
    val step: PlanStep,
    val status: StepStatus,
    /** Failure reason; null unless the step failed. */
    val reason: String? = null,
) {
    public companion object {
        /** Returns the reports of all steps of [rollout] in order. */
        public fun of(rollout: Rollout): List<StepReport> =
            rollout.steps.map { step ->
                val status =
                    when {
                        step.number in rollout.applied -> StepStatus.APPLIED
                        step.number in rollout.failed -> StepStatus.FAILED
                        step.batch == rollout.activeBatch -> StepStatus.ACTIVE
                        else -> StepStatus.WAITING
                    }
                StepReport(step, status, rollout.failed[step.number])
            }
    }
}
