package io.knapweedferry.config.report

import io.knapweedferry.config.stream.Decision
import kotlinx.serialization.Serializable

/** Error response of the operator API, in the RFC 9457 problem details format. */
@Serializable
public data class OperatorProblem(
    val type: String,
    val title: String,
    val status: Int,
    /** Human-readable message that ends with the remedy. */
    val detail: String,
    /** Conflicting change that was accepted first, if any. */
    val winner: Decision? = null,
    /** [OUTCOME_NOT_RUN] or [OUTCOME_UNKNOWN]. */
    val outcome: String = OUTCOME_NOT_RUN,
) {
    public companion object {
        /** No record was appended to the log. */
        public const val OUTCOME_NOT_RUN: String = "not_run"

        /** A record may have been appended to the log. */
        public const val OUTCOME_UNKNOWN: String = "unknown"

        private const val TYPE_PREFIX = "urn:knapweedferry:problem:"

        /** Creates a problem whose type URI is derived from [code]. */
        public fun of(
            code: String,
            status: Int,
            detail: String,
            winner: Decision? = null,
            outcome: String = OUTCOME_NOT_RUN,
        ): OperatorProblem = OperatorProblem(TYPE_PREFIX + code, code, status, detail, winner, outcome)
    }
}
