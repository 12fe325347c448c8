package io.knapweedferry.config.intent

/** Reason why an intent was rejected without a plan. */
public data class IntentProblem(
    val code: IntentProblemCode,
    /** Human-readable message that ends with the remedy. */
    val message: String,
)
