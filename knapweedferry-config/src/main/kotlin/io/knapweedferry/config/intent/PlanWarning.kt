package io.knapweedferry.config.intent

import kotlinx.serialization.Serializable

/** Something that an operator should know before confirming. */
@Serializable
public data class PlanWarning(
    val code: PlanWarningCode,
    /** Text for a person, ending with the remedy. */
    val message: String,
)
