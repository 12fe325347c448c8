package io.knapweedferry.entry.http

import io.knapweedferry.api.Outcome
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Error body according to RFC 9457 (problem details). */
@Serializable
internal data class ProblemDetail(
    val type: String,
    val code: String,
    val title: String,
    val status: Int,
    val detail: String,
    @SerialName("request_id") val requestId: String,
    /** Whether the request took effect: "not_run", "failed" or "unknown". */
    val outcome: String,
    @SerialName("retry_after_ms") val retryAfterMs: Long? = null,
) {
    companion object {
        private const val TYPE_PREFIX = "urn:knapweedferry:problem:"
        private const val STATUS_INTERNAL_ERROR = 500
        private const val STATUS_FAILED = 502
        private const val STATUS_UNKNOWN = 504

        fun of(
            refusal: Refusal,
            requestId: RequestId,
        ) = ProblemDetail(
            type = TYPE_PREFIX + refusal.reason.code,
            code = refusal.reason.code,
            title = refusal.reason.code.replace('_', ' '),
            status = refusal.reason.httpStatus,
            detail = refusal.message,
            requestId = requestId.value,
            outcome = "not_run",
            retryAfterMs = refusal.retryAfterMs,
        )

        /** For a request whose handling ended with an unexpected error. */
        fun unexpectedError(requestId: String) =
            ProblemDetail(
                type = TYPE_PREFIX + "internal_error",
                code = "internal_error",
                title = "internal error",
                status = STATUS_INTERNAL_ERROR,
                detail = "the request ended with an unexpected error; find out whether it took effect before repeating it",
                requestId = requestId,
                outcome = "unknown",
            )

        /** Returns null if [outcome] is an answer. */
        fun of(
            outcome: Outcome,
            requestId: RequestId,
        ): ProblemDetail? =
            when (outcome) {
                is Outcome.Completed -> null
                is Outcome.NotRun -> of(outcome.refusal, requestId)
                is Outcome.Failed -> failed(outcome, requestId)
                is Outcome.Unknown -> unknown(outcome, requestId)
            }

        private fun failed(
            outcome: Outcome.Failed,
            requestId: RequestId,
        ) = ProblemDetail(
            type = TYPE_PREFIX + outcome.reason.code,
            code = outcome.reason.code,
            title = outcome.reason.code.replace('_', ' '),
            status = STATUS_FAILED,
            detail = "${outcome.detail}; ${outcome.reason.remedy}",
            requestId = requestId.value,
            outcome = "failed",
        )

        private fun unknown(
            outcome: Outcome.Unknown,
            requestId: RequestId,
        ) = ProblemDetail(
            type = TYPE_PREFIX + outcome.reason.code,
            code = outcome.reason.code,
            title = outcome.reason.code.replace('_', ' '),
            status = STATUS_UNKNOWN,
            detail = "${outcome.detail}; ${outcome.reason.remedy}",
            requestId = requestId.value,
            outcome = "unknown",
        )
    }
}
