package io.knapweedferry.routing.explain

import io.knapweedferry.api.placement.PlacementDecision
import io.knapweedferry.api.placement.PlacementResult
import io.knapweedferry.api.placement.PlacementStep
import io.knapweedferry.routing.pipeline.LocalResponse

/** Collects the steps of one explanation. The first refusal decides; later steps are listed, but not evaluated. */
internal class StepRecorder {
    private val recorded = ArrayList<PlacementStep>()
    private var isWaiting = false

    /** Null if no step refused the request. */
    var refusal: LocalResponse? = null
        private set

    val steps: List<PlacementStep> get() = recorded

    val decision: PlacementDecision
        get() =
            when {
                refusal != null -> PlacementDecision.REFUSE
                isWaiting -> PlacementDecision.WAIT
                else -> PlacementDecision.RUN
            }

    fun evaluate(
        step: String,
        evaluation: () -> StepOutcome,
    ) {
        if (refusal != null) {
            recorded += PlacementStep(step, PlacementResult.NOT_REACHED, "")
            return
        }
        val outcome = evaluation()
        recorded += PlacementStep(step, apply(outcome), outcome.detail)
    }

    private fun apply(outcome: StepOutcome): PlacementResult =
        when (outcome) {
            is StepOutcome.Passed -> PlacementResult.PASSED
            is StepOutcome.Waits -> PlacementResult.WAITS.also { isWaiting = true }
            is StepOutcome.Refused -> PlacementResult.REFUSED.also { refusal = outcome.response }
        }
}
