package io.knapweedferry.entry.operator

import io.knapweedferry.config.intent.IntentProblem
import io.knapweedferry.config.report.OperatorProblem
import io.knapweedferry.config.stream.Decision
import io.knapweedferry.platform.PlatformError

/** Problem details of the operator interface; each text ends with the remedy. */
internal object Problems {
    private const val BAD_REQUEST = 400
    private const val UNAUTHENTICATED = 401
    private const val NOT_FOUND = 404
    private const val CONFLICT = 409
    private const val GONE = 410
    private const val UNPROCESSABLE = 422
    private const val UNAVAILABLE = 503

    fun unauthenticated(): OperatorProblem =
        OperatorProblem.of("unauthenticated", UNAUTHENTICATED, "no operator has this token; send a valid token in the Authorization header")

    fun malformed(detail: String): OperatorProblem = OperatorProblem.of("malformed_request", BAD_REQUEST, detail)

    fun intent(problem: IntentProblem): OperatorProblem = OperatorProblem.of(problem.code.code, UNPROCESSABLE, problem.message)

    fun notReady(): OperatorProblem =
        OperatorProblem.of("not_ready", UNAVAILABLE, "this entry has no current configuration; retry, or use another entry")

    fun busy(): OperatorProblem = OperatorProblem.of("busy", UNAVAILABLE, "too many operator requests are in progress here; retry shortly")

    fun noPlan(id: Long): OperatorProblem =
        OperatorProblem.of("unknown_plan", NOT_FOUND, "there is no plan $id; check the id or make a new plan")

    fun gone(id: Long): OperatorProblem =
        OperatorProblem.of("record_gone", GONE, "the log no longer holds record $id; look at the history for recent changes")

    fun badId(text: String): OperatorProblem = malformed("\"$text\" is not an id; use the number that a plan or the history shows")

    fun logUnavailable(error: PlatformError?): OperatorProblem {
        val cause = error?.message ?: "it did not answer in time"
        return OperatorProblem.of(
            "log_unavailable",
            UNAVAILABLE,
            "the log cannot be used ($cause); nothing was recorded, retry once it answers",
        )
    }

    fun explanationsOff(): OperatorProblem =
        OperatorProblem.of("explanations_off", NOT_FOUND, "this entry does not read the audit stream; use another entry")

    fun noRequest(id: String): OperatorProblem =
        OperatorProblem.of("unknown_request", NOT_FOUND, "the audit stream holds nothing about request $id; check the id or its age")

    /** The record may be in the log; [retry] says why a repetition does no harm. */
    fun uncertain(retry: String): OperatorProblem =
        OperatorProblem.of(
            code = "outcome_unknown",
            status = UNAVAILABLE,
            detail = "the log did not say in time whether this was recorded; $retry",
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
        return OperatorProblem.of("lost_race", CONFLICT, "$first came before plan $plan; look at it, then make a new plan", winner)
    }

    fun displaced(plan: Long): OperatorProblem =
        OperatorProblem.of("plan_displaced", CONFLICT, "plan $plan was displaced by newer proposals; make a new plan")
}
