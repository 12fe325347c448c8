package io.knapweedferry.config.report

import io.knapweedferry.config.stream.Decision
import kotlinx.serialization.Serializable

/** Error body of the operator interface in the shape of RFC 9457. */
@Serializable
public data class OperatorProblem(
    val type: String,
    val title: String,
    val status: Int,
    /** Text for a person, ending with the remedy. */
    val detail: String,
    /** The accepted change that came first, if the request lost a race. */
    val winner: Decision? = null,
    /** "not_run" if nothing was recorded, "unknown" if a record may have been appended. */
    val outcome: String = OUTCOME_NOT_RUN,
) {
    public companion object {
        /** Nothing was recorded. */
        public const val OUTCOME_NOT_RUN: String = "not_run"

        /** A record may have been appended. */
        public const val OUTCOME_UNKNOWN: String = "unknown"

        private const val TYPE_PREFIX = "urn:knapweedferry:problem:"

        /** Returns the problem with the type that belongs to [code]. */
        public fun of(
            code: String,
            status: Int,
            detail: String,
            winner: Decision? = null,
            outcome: String = OUTCOME_NOT_RUN,
        ): OperatorProblem = OperatorProblem(TYPE_PREFIX + code, code, status, detail, winner, outcome)
    }
}
