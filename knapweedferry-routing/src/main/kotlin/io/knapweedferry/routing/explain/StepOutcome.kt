package io.knapweedferry.routing.explain

import io.knapweedferry.routing.pipeline.LocalResponse

/** Outcome of one step of an explanation; [detail] says what it is based on. */
internal sealed interface StepOutcome {
    val detail: String

    class Passed(
        override val detail: String,
    ) : StepOutcome

    class Waits(
        override val detail: String,
    ) : StepOutcome

    class Refused(
        val response: LocalResponse,
        override val detail: String,
    ) : StepOutcome
}
