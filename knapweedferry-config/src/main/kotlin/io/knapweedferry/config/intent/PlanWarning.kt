package io.knapweedferry.config.intent

import kotlinx.serialization.Serializable

/** Risk or side effect that an operator should know before confirming a plan. */
@Serializable
public data class PlanWarning(
    val code: PlanWarningCode,
    /** Human-readable message that ends with the remedy. */
    val message: String,
)
