package io.knapweedferry.config.intent

/** An intent that got no plan. */
public data class IntentProblem(
    val code: IntentProblemCode,
    /** Text for a person, ending with the remedy. */
    val message: String,
)
