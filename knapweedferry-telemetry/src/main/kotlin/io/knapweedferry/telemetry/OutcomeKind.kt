package io.knapweedferry.telemetry

import io.knapweedferry.api.Outcome

/** Value of the metric label `outcome`. */
internal enum class OutcomeKind {
    COMPLETED,
    NOT_RUN,
    FAILED,
    UNKNOWN,
    ;

    companion object {
        fun of(outcome: Outcome): OutcomeKind =
            when (outcome) {
                is Outcome.Completed -> COMPLETED
                is Outcome.NotRun -> NOT_RUN
                is Outcome.Failed -> FAILED
                is Outcome.Unknown -> UNKNOWN
            }
    }
}
