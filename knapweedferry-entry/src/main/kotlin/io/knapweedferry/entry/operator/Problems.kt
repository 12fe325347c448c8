package io.knapweedferry.entry.operator

import io.knapweedferry.config.intent.IntentProblem
import io.knapweedferry.config.report.OperatorProblem
import io.knapweedferry.config.stream.Decision
import io.knapweedferry.platform.PlatformError

/** Problem details of the operator interface. Each detail text ends with a remedy after a semicolon. */
internal object Problems {
    private const val BAD_REQUEST = 400
    private const val UNAUTHENTICATED = 401
    private const val NOT_FOUND = 404
    private const val CONFLICT = 409
    private const val GONE = 410
    private const val UNPROCESSABLE = 422
    private const val UNAVAILABLE = 503

    fun unauthenticated(): OperatorProblem =
        OperatorProblem.of(
            "unauthenticated",
            UNAUTHENTICATED,
            "the token belongs to no operator; send a valid token in the Authorization header",
        )

    fun malformed(detail: String): OperatorProblem = OperatorProblem.of("malformed_request", BAD_REQUEST, detail)

    fun invalidIntent(problem: IntentProblem): OperatorProblem = OperatorProblem.of(problem.code.code, UNPROCESSABLE, problem.message)

    fun notReady(): OperatorProblem =
        OperatorProblem.of("not_ready", UNAVAILABLE, "this entry has no up-to-date configuration; retry, or use another entry")

    fun busy(): OperatorProblem =
        OperatorProblem.of("busy", UNAVAILABLE, "this entry is processing too many operator requests; retry shortly")

    fun unknownPlan(id: Long): OperatorProblem =
        OperatorProblem.of("unknown_plan", NOT_FOUND, "there is no plan $id; check the id or create a new plan")

    fun recordGone(id: Long): OperatorProblem =
        OperatorProblem.of("record_gone", GONE, "the log no longer contains record $id; check the history for recent changes")

    fun invalidId(text: String): OperatorProblem = malformed("\"$text\" is not a valid id; use the number shown in a plan or the history")

    fun logUnavailable(error: PlatformError?): OperatorProblem {
        val cause = error?.message ?: "it did not answer in time"
        return OperatorProblem.of(
            "log_unavailable",
            UNAVAILABLE,
            "the log is unavailable ($cause); nothing was recorded, retry when it is available",
        )
    }

    fun explanationsOff(): OperatorProblem =
        OperatorProblem.of("explanations_off", NOT_FOUND, "this entry does not read the audit stream; use another entry")

    fun unknownRequest(id: String): OperatorProblem =
        OperatorProblem.of("unknown_request", NOT_FOUND, "the audit stream has no record of request $id; check the id and its age")

    /** It is unknown whether the record was appended; [retryAdvice] tells how to proceed and why a retry is safe. */
    fun outcomeUnknown(retryAdvice: String): OperatorProblem =
        OperatorProblem.of(
            code = "outcome_unknown",
            status = UNAVAILABLE,
            detail = "the log did not confirm the record in time; $retryAdvice",
            outcome = OperatorProblem.OUTCOME_UNKNOWN,
        )

    fun lostRace(
        plan: Long,
        winner: Decision?,
    ): OperatorProblem {
        val first =
            if (winner == null) {
                "another change"
            } else {
                "change ${winner.offset} (${winner.summary}, confirmed by ${winner.confirmedBy.value})"
            }
        return OperatorProblem.of("lost_race", CONFLICT, "$first was accepted before plan $plan; review it, then create a new plan", winner)
    }

    fun planDisplaced(plan: Long): OperatorProblem =
        OperatorProblem.of("plan_displaced", CONFLICT, "plan $plan was displaced by newer proposals; create a new plan")
}
